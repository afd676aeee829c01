package org.curranthaven.internal.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
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

  static BackendReport backendReport(String name, int blocksTotal, int blocksUsed, long nowMillis) {
    return backendReport(name, blocksTotal, blocksUsed, 0, nowMillis);
  }

  static BackendReport backendReport(
      String name, int blocksTotal, int blocksUsed, int running, long nowMillis) {
    return new BackendReport(
        name,
        "a",
        Set.of("model"),
        blocksTotal,
        blocksUsed,
        running,
        0,
        64,
        nowMillis,
        Long.MIN_VALUE / 2);
  }

  static RequestAttributes request(
      long id, String className, Targets targets, long arrivedAtMillis) {
    return new RequestAttributes(
        id, "workspace", className, targets, "model", 32, 2_000, 0, arrivedAtMillis, Set.of());
  }

  private List<Long> dispatchedIds(List<RoutingDecision> decisions) {
    return decisions.stream()
        .filter(RoutingDecision.Dispatch.class::isInstance)
        .map(decision -> ((RoutingDecision.Dispatch) decision).requestId())
        .toList();
  }

  private List<RoutingDecision> arrive(long id, String className, Targets targets, long nowMillis) {
    return core.handle(
        new RoutingEvent.Arrived(request(id, className, targets, nowMillis)), nowMillis);
  }

  @Test
  void request_is_dispatched_to_a_backend_server_with_free_capacity() {
    core.handle(new RoutingEvent.BackendReported(backendReport("s1", 1_000, 0, 0)), 0);

    assertThat(dispatchedIds(arrive(1, "batch", BATCH, 0))).containsExactly(1L);
  }

  private int dispatchedWhenReadySince(long loadedAtMillis, long nowMillis) {
    core.handle(
        new RoutingEvent.BackendReported(
            new BackendReport(
                "s1", "a", Set.of("model"), 0, 0, 0, 0, 50, nowMillis, loadedAtMillis)),
        nowMillis);
    int dispatched = 0;
    for (int id = 1; id <= 80; id++) {
      dispatched += dispatchedIds(arrive(id, "interactive", INTERACTIVE, nowMillis)).size();
    }
    return dispatched;
  }

  @Test
  void backend_server_that_has_long_been_ready_gets_a_full_batch() {
    assertThat(dispatchedWhenReadySince(Long.MIN_VALUE, 10_000)).isEqualTo(50);
  }

  @Test
  void newly_ready_backend_server_is_filled_gradually() {
    assertThat(dispatchedWhenReadySince(9_000, 10_000)).isEqualTo(25);
  }

  @Test
  void request_is_queued_if_it_would_fill_the_memory_of_a_busy_backend_server() {
    core.handle(new RoutingEvent.BackendReported(backendReport("s1", 30, 0, 0)), 0);
    assertThat(dispatchedIds(arrive(1, "batch", BATCH, 0))).containsExactly(1L);

    assertThat(dispatchedIds(arrive(2, "batch", BATCH, 0))).isEmpty();
    assertThat(core.queued()).isEqualTo(1);

    List<RoutingDecision> decisions =
        core.handle(
            new RoutingEvent.Finished(1, 100, RoutingEvent.RequestOutcome.COMPLETED), 1_000);
    assertThat(dispatchedIds(decisions)).containsExactly(2L);
  }

  @Test
  void class_with_the_least_time_left_is_dispatched_first() {
    arrive(1, "batch", BATCH, 0);
    arrive(2, "interactive", INTERACTIVE, 10);

    List<RoutingDecision> decisions =
        core.handle(new RoutingEvent.BackendReported(backendReport("s1", 5_000, 0, 20)), 20);

    assertThat(dispatchedIds(decisions)).containsExactly(2L, 1L);
  }

  @Test
  void late_batch_request_does_not_precede_an_interactive_one_that_can_still_be_in_time() {
    core.handle(new RoutingEvent.BackendReported(backendReport("s1", 5_000, 5_000, 1, 0)), 0);
    arrive(1, "batch", BATCH, 0);
    core.handle(new RoutingEvent.Tick(), 4_500);
    arrive(2, "interactive", INTERACTIVE, 4_500);

    List<RoutingDecision> decisions =
        core.handle(new RoutingEvent.BackendReported(backendReport("s1", 5_000, 0, 4_510)), 4_510);

    assertThat(dispatchedIds(decisions)).containsExactly(2L, 1L);
  }

  @Test
  void request_for_a_model_without_backend_server_is_shed_with_a_retry_delay() {
    arrive(1, "interactive", INTERACTIVE, 0);
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
  void report_of_an_excluded_backend_server_does_not_dispatch_the_request_to_it() {
    core.handle(new RoutingEvent.BackendReported(backendReport("lost", 5_000, 0, 0)), 0);
    core.handle(new RoutingEvent.BackendReported(backendReport("full", 5_000, 5_000, 1, 0)), 0);
    RequestAttributes retried =
        request(1, "interactive", INTERACTIVE, 0).attempt(1, 0, Set.of("lost"));
    core.handle(new RoutingEvent.Arrived(retried), 0);

    List<RoutingDecision> decisions =
        core.handle(new RoutingEvent.BackendReported(backendReport("lost", 5_000, 0, 10)), 10);

    assertThat(dispatchedIds(decisions)).isEmpty();
  }

  @Test
  void removed_backend_server_gets_no_requests() {
    core.handle(new RoutingEvent.BackendReported(backendReport("s1", 5_000, 0, 0)), 0);
    core.handle(new RoutingEvent.BackendRemoved("s1"), 10);

    assertThat(dispatchedIds(arrive(1, "interactive", INTERACTIVE, 20))).isEmpty();
  }

  @Test
  void repeatedly_failing_backend_server_is_ejected_while_its_peers_are_healthy() {
    core.handle(new RoutingEvent.BackendReported(backendReport("bad", 5_000, 0, 0)), 0);
    for (int id = 1; id <= OutlierEjector.CONSECUTIVE_FAILURES_TO_EJECT; id++) {
      arrive(id, "interactive", INTERACTIVE, 0);
      core.handle(new RoutingEvent.BackendReported(backendReport("good", 5_000, 0, 0)), 0);
      core.handle(new RoutingEvent.Finished(id, 0, RoutingEvent.RequestOutcome.FAILED), 0);
      core.handle(new RoutingEvent.BackendRemoved("good"), 0);
    }
    core.handle(new RoutingEvent.BackendReported(backendReport("good", 5_000, 4_000, 0)), 0);

    assertThat(chosenBackend(arrive(9, "interactive", INTERACTIVE, 10))).isEqualTo("good");
  }

  @Test
  void open_requests_of_other_hosts_count_against_a_backend_servers_memory() {
    core.handle(new RoutingEvent.BackendReported(backendReport("s1", 1_000, 0, 0)), 0);
    core.handle(new RoutingEvent.BackendReported(backendReport("s2", 1_000, 0, 0)), 0);
    double[] means = new double[MemoryForecast.HORIZON_TOKENS.length];
    Arrays.fill(means, 900);
    HostShare share = new HostShare("s1", 20, MemoryForecast.of(means, new double[means.length]));
    core.handle(
        new RoutingEvent.SharesReported("host-2", new ShareUpdate(true, List.of(share))), 5);

    for (int id = 1; id <= 5; id++) {
      assertThat(chosenBackend(arrive(id, "interactive", INTERACTIVE, 10))).isEqualTo("s2");
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
  void same_events_and_seed_give_the_same_decisions() {
    assertThat(decisionsOfSeed(7)).isEqualTo(decisionsOfSeed(7));
  }

  private static String decisionsOfSeed(long seed) {
    RoutingCore core =
        new RoutingCore(
            "host-1", new Policy.Forecast(ForecastOptions.standard()), new SplittableRandom(seed));
    StringBuilder decisions = new StringBuilder();
    for (int i = 0; i < 10; i++) {
      core.handle(new RoutingEvent.BackendReported(backendReport("s" + i, 500, i, 0)), 0);
    }
    for (int i = 0; i < 200; i++) {
      decisions.append(core.handle(new RoutingEvent.Arrived(request(i, "batch", BATCH, i)), i));
    }
    return decisions.toString();
  }
}
