package org.curranthaven.internal.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.curranthaven.api.Targets;
import org.junit.jupiter.api.Test;

class RoutingCoreTest {
  private static final Targets INTERACTIVE = new Targets(400, 100, 5_000);
  private static final Targets BATCH = new Targets(4_000, 200, 600_000);

  private final RoutingCore core =
      new RoutingCore(
          "host-1", new Policy.Forecast(ForecastOptions.standard()), new SplittableRandom(1));

  static BackendReport backendReport(String name, int blocks, int used, long nowMillis) {
    return backendReport(name, blocks, used, 0, nowMillis);
  }

  static BackendReport backendReport(
      String name, int blocks, int used, int running, long nowMillis) {
    return new BackendReport(
        name, "a", Set.of("story"), blocks, used, running, 0, 64, nowMillis, Long.MIN_VALUE / 2);
  }

  static RequestAttributes request(long id, String className, Targets targets, long arrivedAt) {
    return new RequestAttributes(
        id, "w", className, targets, "story", 32, 2_000, 0, arrivedAt, Set.of());
  }

  private List<Long> dispatched(List<RoutingDecision> decisions) {
    return decisions.stream()
        .filter(RoutingDecision.Dispatch.class::isInstance)
        .map(decision -> ((RoutingDecision.Dispatch) decision).requestId())
        .toList();
  }

  private List<RoutingDecision> handleArrival(
      long id, String className, Targets targets, long now) {
    return core.handle(new RoutingEvent.Arrived(request(id, className, targets, now)), now);
  }

  @Test
  void a_request_goes_to_a_server_with_room() {
    core.handle(new RoutingEvent.BackendReported(backendReport("s1", 1_000, 0, 0)), 0);

    assertThat(dispatched(handleArrival(1, "draft", BATCH, 0))).containsExactly(1L);
  }

  private int dispatchedWhenReadySince(long loadedAtMillis, long nowMillis) {
    core.handle(
        new RoutingEvent.BackendReported(
            new BackendReport(
                "s1", "a", Set.of("story"), 0, 0, 0, 0, 50, nowMillis, loadedAtMillis)),
        nowMillis);
    int taken = 0;
    for (int id = 1; id <= 80; id++) {
      taken += dispatched(handleArrival(id, "door", INTERACTIVE, nowMillis)).size();
    }
    return taken;
  }

  @Test
  void a_server_that_has_long_been_ready_takes_its_whole_batch() {
    assertThat(dispatchedWhenReadySince(Long.MIN_VALUE, 10_000)).isEqualTo(50);
  }

  @Test
  void a_server_that_has_just_become_ready_is_filled_gently() {
    assertThat(dispatchedWhenReadySince(9_000, 10_000)).isEqualTo(25);
  }

  @Test
  void a_request_is_held_rather_than_fill_the_memory_of_a_server_that_runs_others() {
    core.handle(new RoutingEvent.BackendReported(backendReport("s1", 30, 0, 0)), 0);
    assertThat(dispatched(handleArrival(1, "draft", BATCH, 0))).containsExactly(1L);

    assertThat(dispatched(handleArrival(2, "draft", BATCH, 0))).isEmpty();
    assertThat(core.queued()).isEqualTo(1);

    List<RoutingDecision> decisions =
        core.handle(
            new RoutingEvent.Finished(1, 100, RoutingEvent.RequestOutcome.COMPLETED), 1_000);
    assertThat(dispatched(decisions)).containsExactly(2L);
  }

  @Test
  void the_class_with_the_least_time_left_goes_first() {
    handleArrival(1, "draft", BATCH, 0);
    handleArrival(2, "door", INTERACTIVE, 10);

    List<RoutingDecision> decisions =
        core.handle(new RoutingEvent.BackendReported(backendReport("s1", 5_000, 0, 20)), 20);

    assertThat(dispatched(decisions)).containsExactly(2L, 1L);
  }

  @Test
  void a_late_draft_does_not_go_before_a_guest_who_can_still_be_answered_in_time() {
    core.handle(new RoutingEvent.BackendReported(backendReport("s1", 5_000, 5_000, 1, 0)), 0);
    handleArrival(1, "draft", BATCH, 0);
    core.handle(new RoutingEvent.Tick(), 4_500);
    handleArrival(2, "door", INTERACTIVE, 4_500);

    List<RoutingDecision> decisions =
        core.handle(new RoutingEvent.BackendReported(backendReport("s1", 5_000, 0, 4_510)), 4_510);

    assertThat(dispatched(decisions)).containsExactly(2L, 1L);
  }

  @Test
  void a_request_that_no_server_serves_is_given_up_with_a_time_to_come_back() {
    handleArrival(1, "door", INTERACTIVE, 0);
    assertThat(core.handle(new RoutingEvent.Tick(), 300)).isEmpty();

    List<RoutingDecision> decisions = core.handle(new RoutingEvent.Tick(), 500);

    assertThat(decisions)
        .singleElement()
        .isInstanceOfSatisfying(
            RoutingDecision.Shed.class,
            shed -> {
              assertThat(shed.reason()).isEqualTo(RoutingDecision.ShedReason.NO_SERVER);
              assertThat(shed.retryAfterMillis()).isPositive();
            });
  }

  @Test
  void a_report_of_an_excluded_server_does_not_bring_a_request_back_to_it() {
    core.handle(new RoutingEvent.BackendReported(backendReport("lost", 5_000, 0, 0)), 0);
    core.handle(new RoutingEvent.BackendReported(backendReport("full", 5_000, 5_000, 1, 0)), 0);
    RequestAttributes again = request(1, "door", INTERACTIVE, 0).attempt(1, 0, Set.of("lost"));
    core.handle(new RoutingEvent.Arrived(again), 0);

    List<RoutingDecision> decisions =
        core.handle(new RoutingEvent.BackendReported(backendReport("lost", 5_000, 0, 10)), 10);

    assertThat(dispatched(decisions)).isEmpty();
  }

  @Test
  void a_server_that_has_gone_gets_nothing() {
    core.handle(new RoutingEvent.BackendReported(backendReport("s1", 5_000, 0, 0)), 0);
    core.handle(new RoutingEvent.BackendRemoved("s1"), 10);

    assertThat(dispatched(handleArrival(1, "door", INTERACTIVE, 20))).isEmpty();
  }

  @Test
  void a_server_that_keeps_failing_is_left_out_while_its_peers_are_sound() {
    core.handle(new RoutingEvent.BackendReported(backendReport("bad", 5_000, 0, 0)), 0);
    for (int id = 1; id <= OutlierEjector.CONSECUTIVE_FAILURES_TO_EJECT; id++) {
      handleArrival(id, "door", INTERACTIVE, 0);
      core.handle(new RoutingEvent.BackendReported(backendReport("good", 5_000, 0, 0)), 0);
      core.handle(new RoutingEvent.Finished(id, 0, RoutingEvent.RequestOutcome.FAILED), 0);
      core.handle(new RoutingEvent.BackendRemoved("good"), 0);
    }
    core.handle(new RoutingEvent.BackendReported(backendReport("good", 5_000, 4_000, 0)), 0);

    assertThat(chosenBackend(handleArrival(9, "door", INTERACTIVE, 10))).isEqualTo("good");
  }

  @Test
  void what_other_hosts_have_open_counts_against_a_servers_memory() {
    core.handle(new RoutingEvent.BackendReported(backendReport("s1", 1_000, 0, 0)), 0);
    core.handle(new RoutingEvent.BackendReported(backendReport("s2", 1_000, 0, 0)), 0);
    double[] means = new double[MemoryForecast.HORIZON_TOKENS.length];
    java.util.Arrays.fill(means, 900);
    HostShare share = new HostShare("s1", 20, MemoryForecast.of(means, new double[means.length]));
    core.handle(
        new RoutingEvent.SharesReported("host-2", new ShareUpdate(true, List.of(share))), 5);

    for (int id = 1; id <= 5; id++) {
      assertThat(chosenBackend(handleArrival(id, "door", INTERACTIVE, 10))).isEqualTo("s2");
    }
  }

  private static String chosenBackend(List<RoutingDecision> decisions) {
    return decisions.stream()
        .filter(RoutingDecision.Dispatch.class::isInstance)
        .map(decision -> ((RoutingDecision.Dispatch) decision).server())
        .findFirst()
        .orElse("");
  }

  @Test
  void the_same_events_and_seed_give_the_same_decisions() {
    assertThat(decisionsOfSeed(7)).isEqualTo(decisionsOfSeed(7));
  }

  private static String decisionsOfSeed(long seed) {
    RoutingCore core =
        new RoutingCore(
            "host-1", new Policy.Forecast(ForecastOptions.standard()), new SplittableRandom(seed));
    StringBuilder all = new StringBuilder();
    for (int i = 0; i < 10; i++) {
      core.handle(new RoutingEvent.BackendReported(backendReport("s" + i, 500, i, 0)), 0);
    }
    for (int i = 0; i < 200; i++) {
      all.append(core.handle(new RoutingEvent.Arrived(request(i, "draft", BATCH, i)), i));
    }
    return all.toString();
  }
}
