package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.junit.jupiter.api.Test;

/** Guards against requests from a gateway to servers that want none from it for some time. */
class RestTimesTest {
  private static final String SERVICE = "plain";

  private final SharedKnowledge knowledge = SharedKnowledge.ofScheduler();
  private final DispatchCore core =
      new DispatchCore(
          new RetryLimits(0.2, 10, 10_000), 1, new SplittableRandom(1), Set.of(), knowledge);
  private long nowMillis = 10_000;
  private long nextId = 1;

  private void register(String id) {
    core.updateBackend(
        BackendRecord.newBuilder().setId(id).setService(SERVICE).setSlots(4).build(), nowMillis);
  }

  private void rest(String gateway, String backend, long millis) {
    knowledge.restTimes().state(gateway, backend, nowMillis + millis, nowMillis);
  }

  private RequestId submit(String gateway, long targetLeftMillis) {
    PlacementRequest request =
        PlacementRequest.newBuilder()
            .setId(nextId++)
            .setService(SERVICE)
            .setTargetLeftMillis(targetLeftMillis)
            .setDeadlineLeftMillis(targetLeftMillis + 5_000)
            .build();
    RequestId id = new RequestId(gateway, request.getId());
    core.submit(id, request, nowMillis);
    return id;
  }

  private List<String> placements() {
    return core.drainDecisions().stream()
        .filter(DispatchDecision.Place.class::isInstance)
        .map(decision -> ((DispatchDecision.Place) decision).backend())
        .toList();
  }

  @Test
  void a_resting_server_gets_requests_of_other_gateways_only() {
    register("i-1");
    register("i-2");
    rest("g1", "i-1", 3_000);

    for (int i = 0; i < 4; i++) {
      submit("g1", 500);
    }
    assertThat(placements()).hasSize(4).containsOnly("i-2");
    for (int i = 0; i < 4; i++) {
      submit("g2", 500);
    }
    assertThat(placements()).contains("i-1");
  }

  /** Guards against requests during a rest that an earlier response, read later, ends too soon. */
  @Test
  void a_shorter_rest_that_is_stated_later_does_not_end_a_longer_one() {
    register("i-1");
    register("i-2");
    rest("g1", "i-1", 5_000);
    rest("g1", "i-1", 200);
    nowMillis += 300;

    for (int i = 0; i < 4; i++) {
      submit("g1", 500);
    }

    assertThat(placements()).hasSize(4).containsOnly("i-2");
  }

  @Test
  void a_request_waits_for_the_end_of_a_rest_that_comes_in_time_and_holds_up_no_other_gateway() {
    register("i-1");
    rest("g1", "i-1", 300);
    RequestId waiting = submit("g1", 1_000);
    assertThat(core.isQueued(waiting)).isTrue();

    submit("g2", 1_000);
    assertThat(placements()).containsExactly("i-1");
    nowMillis += 300;
    core.tick(nowMillis);

    assertThat(placements()).containsExactly("i-1");
    assertThat(core.isQueued(waiting)).isFalse();
  }

  @Test
  void a_request_for_which_all_servers_rest_too_long_is_rejected_with_the_time_of_the_first() {
    register("i-1");
    register("i-2");
    rest("g1", "i-1", 9_000);
    rest("g1", "i-2", 4_000);

    submit("g1", 500);

    DispatchDecision.Reject reject = (DispatchDecision.Reject) core.drainDecisions().getFirst();
    assertThat(reject.retryAfterMillis()).isBetween(4_000L, 6_000L);
  }
}
