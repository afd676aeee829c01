package org.curranthaven.internal.experiment;

import java.util.LinkedHashMap;
import java.util.Map;
import org.curranthaven.internal.routing.ForecastOptions;
import org.curranthaven.internal.routing.Policy;

/** Variants of the policy used by hosts, each with one mechanism switched off. */
public final class PolicyAblations {
  private PolicyAblations() {}

  /** Returns the variants by name; the first one is the complete policy. */
  public static Map<String, Policy> policiesByName() {
    ForecastOptions standard = ForecastOptions.standard();
    Map<String, Policy> policies = new LinkedHashMap<>();
    policies.put("whole", new Policy.Forecast(standard));
    policies.put("no memory forecast", new Policy.Forecast(standard.withMemoryShare(1e9)));
    policies.put("mean growth only", new Policy.Forecast(standard.withDeviations(0)));
    policies.put("no headroom", new Policy.Forecast(standard.withHeadroomMillis(0)));
    policies.put("no prefix affinity", new Policy.Forecast(standard.withPrefixBonus(0)));
    policies.put("no early shedding", new Policy.Forecast(standard.withShedding(false)));
    policies.put("no turns", new Policy.Forecast(standard.withTurnMillis(0)));
    policies.put("best of all", new Policy.Forecast(standard.withSampledServers(0)));
    return policies;
  }
}
