package org.curranthaven.internal.experiment;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.curranthaven.internal.routing.Policy;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** The stated bounds, on given time and fixed seeds, over three crowded scenarios. */
class RoutingExperimentTest {
  private static Map<String, RoutingExperiment.Figures> figures = Map.of();

  @BeforeAll
  static void runPolicies() {
    Map<String, Policy> policies = new LinkedHashMap<>();
    RoutingExperiment.policies().forEach(policy -> policies.put(policy.policyName(), policy));
    figures =
        RoutingExperiment.run(
                List.of(
                    new Scenario(Scenario.Kind.CHAPTER_FLOOD, Scenario.User.GUILD),
                    new Scenario(Scenario.Kind.BOARDING_RUSH, Scenario.User.LOUNGE),
                    new Scenario(Scenario.Kind.ENGINE_LOST, Scenario.User.LOUNGE)),
                policies,
                2)
            .all();
  }

  private static RoutingExperiment.Figures of(String policy) {
    return figures.entrySet().stream()
        .filter(entry -> entry.getKey().equals(policy))
        .map(Map.Entry::getValue)
        .findFirst()
        .orElseThrow();
  }

  @Test
  void stall_time_is_at_most_a_quarter_of_least_loads() {
    assertThat((double) of("curranthaven").stallMillis())
        .isLessThanOrEqualTo(0.25 * of("least-load").stallMillis());
  }

  @Test
  void preemptions_are_at_most_a_tenth_of_least_loads() {
    assertThat((double) of("curranthaven").preemptions())
        .isLessThanOrEqualTo(0.1 * of("least-load").preemptions());
  }

  @Test
  void the_p999_gap_is_at_most_half_of_least_loads() {
    assertThat((double) of("curranthaven").gapP999Millis())
        .isLessThanOrEqualTo(0.5 * of("least-load").gapP999Millis());
  }

  @Test
  void the_door_is_answered_within_its_target() {
    assertThat(of("curranthaven").doorFirstReplyP99Millis()).isLessThanOrEqualTo(400);
  }

  @Test
  void throughput_is_at_least_098_of_least_loads() {
    assertThat(of("curranthaven").tokensPerSecond())
        .isGreaterThanOrEqualTo(0.98 * of("least-load").tokensPerSecond());
  }
}
