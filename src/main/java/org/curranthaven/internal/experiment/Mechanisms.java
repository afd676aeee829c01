package org.curranthaven.internal.experiment;

import java.util.LinkedHashMap;
import java.util.Map;
import org.curranthaven.internal.routing.ForecastOptions;
import org.curranthaven.internal.routing.Policy;

/** The policy in force with one mechanism switched off at a time. */
public final class Mechanisms {
  private Mechanisms() {}

  /** Returns the variants by name, the whole policy first. */
  public static Map<String, Policy> variants() {
    ForecastOptions whole = ForecastOptions.standard();
    Map<String, Policy> variants = new LinkedHashMap<>();
    variants.put("whole", new Policy.Forecast(whole));
    variants.put("no memory forecast", new Policy.Forecast(whole.withMemoryShare(1e9)));
    variants.put("mean growth only", new Policy.Forecast(whole.withDeviations(0)));
    variants.put("no headroom", new Policy.Forecast(whole.withHeadroomMillis(0)));
    variants.put("no prefix affinity", new Policy.Forecast(whole.withPrefixBonus(0)));
    variants.put("no early shedding", new Policy.Forecast(whole.withShedding(false)));
    variants.put("no turns", new Policy.Forecast(whole.withTurnMillis(0)));
    variants.put("best of all", new Policy.Forecast(whole.withSampledServers(0)));
    return variants;
  }
}
