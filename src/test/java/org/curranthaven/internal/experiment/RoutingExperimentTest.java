package org.curranthaven.internal.experiment;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.curranthaven.internal.routing.Policy;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Checks the bounds of the policy used by hosts in three scenarios, on fixed seeds in simulated
 * time.
 */
class RoutingExperimentTest {
  private static Map<String, RoutingExperiment.Figures> figures = Map.of();

  @BeforeAll
  static void runPolicies() {
    Map<String, Policy> policies = new LinkedHashMap<>();
    RoutingExperiment.policies().forEach(policy -> policies.put(policy.policyName(), policy));
    figures =
        RoutingExperiment.runAll(
                List.of(
                    new Scenario(Scenario.Kind.CHAPTER_FLOOD, Scenario.Workload.GUILD),
                    new Scenario(Scenario.Kind.BOARDING_RUSH, Scenario.Workload.LOUNGE),
                    new Scenario(Scenario.Kind.ENGINE_LOST, Scenario.Workload.LOUNGE)),
                policies,
                2)
            .acrossScenarios();
  }

  private static RoutingExperiment.Figures figuresOf(String policyName) {
    return figures.entrySet().stream()
        .filter(entry -> entry.getKey().equals(policyName))
        .map(Map.Entry::getValue)
        .findFirst()
        .orElseThrow();
  }

  @Test
  void stall_time_is_at_most_a_quarter_of_least_loads() {
    assertThat((double) figuresOf("curranthaven").stallMillis())
        .isLessThanOrEqualTo(0.25 * figuresOf("least-load").stallMillis());
  }

  @Test
  void preemptions_are_at_most_a_tenth_of_least_loads() {
    assertThat((double) figuresOf("curranthaven").preemptions())
        .isLessThanOrEqualTo(0.1 * figuresOf("least-load").preemptions());
  }

  @Test
  void the_p999_gap_is_at_most_half_of_least_loads() {
    assertThat((double) figuresOf("curranthaven").gapP999Millis())
        .isLessThanOrEqualTo(0.5 * figuresOf("least-load").gapP999Millis());
  }

  @Test
  void door_requests_get_their_first_reply_within_the_target() {
    assertThat(figuresOf("curranthaven").doorFirstReplyP99Millis()).isLessThanOrEqualTo(400);
  }

  @Test
  void throughput_is_at_least_098_of_least_loads() {
    assertThat(figuresOf("curranthaven").tokensPerSecond())
        .isGreaterThanOrEqualTo(0.98 * figuresOf("least-load").tokensPerSecond());
  }
}
