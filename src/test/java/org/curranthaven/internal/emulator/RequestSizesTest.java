package org.curranthaven.internal.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.curranthaven.api.Outcome;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that are hardly served because their prompts are long. */
@Timeout(120)
class RequestSizesTest {
  private static final Set<Cause> SERVED =
      EnumSet.of(
          Cause.IN_TIME,
          Cause.LATE_BY_QUEUE,
          Cause.LATE_BY_PROMPTS,
          Cause.LATE_BY_MIGRATION,
          Cause.LATE_BY_PAUSE);

  private static final int SECONDS = 24;

  /** Makes the memory and the time for prompts bind; nine in ten short streams are served. */
  private static final double ENGINE_SLOWDOWN = 1.35;

  /** Returns engines with too little memory for their load; short streams are the urgent ones. */
  private static Deployment deployment() {
    Path file = Path.of("deploy/deployments/lounge-grown.jsonc");
    Deployment lounge = ((Outcome.Success<Deployment>) Deployment.read(file)).value();
    return new Deployment(
            lounge.name(),
            lounge.gateways(),
            lounge.placementMillis(),
            lounge.dataCentres(),
            lounge.engines(),
            lounge.plainServers(),
            lounge.noise(),
            lounge.kinds().stream().map(RequestSizesTest::withShortStreamsFirst).toList(),
            lounge.days())
        .withEnginesSlowedBy(ENGINE_SLOWDOWN);
  }

  private static Deployment.RequestKind withShortStreamsFirst(Deployment.RequestKind kind) {
    int priority =
        switch (kind.name()) {
          case "note" -> 0;
          case "history" -> 1;
          default -> kind.priority();
        };
    return new Deployment.RequestKind(
        kind.name(),
        kind.engine(),
        kind.perSecond(),
        kind.prompt(),
        kind.output(),
        kind.targetMillis(),
        kind.gapTargetMillis(),
        kind.deadlineMillis(),
        kind.worth(),
        kind.lateWorth(),
        priority,
        kind.repeatable(),
        kind.attempts(),
        kind.retries());
  }

  /** Returns the share that was served, without requests that were broken off by a lost engine. */
  private static double servedShare(Map<Cause, Integer> counts) {
    int served = SERVED.stream().mapToInt(cause -> counts.getOrDefault(cause, 0)).sum();
    int all = counts.values().stream().mapToInt(Integer::intValue).sum();
    return (double) served / (all - counts.getOrDefault(Cause.LOST_WITHOUT_COPY, 0));
  }

  private static Map<Cause, Integer> sum(Map<Cause, Integer> first, Map<Cause, Integer> second) {
    Map<Cause, Integer> sum = new EnumMap<>(first);
    second.forEach((cause, count) -> sum.merge(cause, count, Integer::sum));
    return sum;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void the_largest_short_streams_are_served_at_least_half_as_often_as_all(long seed) {
    assertLargestAreServed("note", seed);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void the_largest_long_streams_are_served_at_least_half_as_often_as_all(long seed) {
    assertLargestAreServed("history", seed);
  }

  private static void assertLargestAreServed(String kind, long seed) {
    Deployment deployment = deployment();
    Deployment.Day quiet = deployment.day("quiet");
    Deployment.Day day = new Deployment.Day("sizes", SECONDS, 1, quiet.faults());
    Figures figures = DispatchSimulation.run(deployment, day, PolicyVariant.serving(), seed);
    double half = servedShare(figures.counts(kind)) / 2;
    List<Map<Cause, Integer>> tenths = figures.countsByTenth(kind);

    assertThat(servedShare(tenths.get(9)))
        .as("largest tenth of %s by cause: %s", kind, tenths.get(9))
        .isGreaterThanOrEqualTo(half);
    assertThat(servedShare(sum(tenths.get(7), tenths.get(8))))
        .as("fifth below the largest tenth of %s", kind)
        .isGreaterThanOrEqualTo(half);
  }
}
