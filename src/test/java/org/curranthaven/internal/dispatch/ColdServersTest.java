package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.curranthaven.internal.dispatch.ColdFixture.COLD_PER_SECOND;
import static org.curranthaven.internal.dispatch.ColdFixture.LONG_COLD_MILLIS;
import static org.curranthaven.internal.dispatch.ColdFixture.backend;
import static org.curranthaven.internal.dispatch.ColdFixture.catalog;
import static org.curranthaven.internal.dispatch.ColdFixture.engine;
import static org.curranthaven.internal.dispatch.ColdFixture.mostInWindow;
import static org.curranthaven.internal.dispatch.ColdFixture.newCore;
import static org.curranthaven.internal.dispatch.ColdFixture.request;

import java.util.ArrayList;
import java.util.List;
import org.curranthaven.internal.catalog.ColdStart;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.curranthaven.internal.transport.wire.RunningDispatch;
import org.junit.jupiter.api.Test;

/** Guards against cold backend servers that get more requests than they can handle. */
class ColdServersTest {
  private final RequestRateLimits limits = RequestRateLimits.ofScheduler();
  private final DispatchCore core = newCore(1, limits, 1);
  private long nextId = 1;

  /** Offers a request each 10 ms, each of which ends at once; returns when they were placed. */
  private List<Long> placements(String service, long fromMillis, long toMillis) {
    List<Long> placedAtMillis = new ArrayList<>();
    for (long nowMillis = fromMillis; nowMillis < toMillis; nowMillis += 10) {
      core.submit(new RequestId("g", nextId), request(service).setId(nextId++).build(), nowMillis);
      core.tick(nowMillis);
      for (DispatchDecision decision : core.drainDecisions()) {
        if (decision instanceof DispatchDecision.Place place) {
          placedAtMillis.add(nowMillis);
          core.requestEnded(
              place.requestId(), DispatchOutcome.DISPATCH_OUTCOME_ANSWERED, 0, nowMillis);
        }
      }
    }
    return placedAtMillis;
  }

  @Test
  void a_server_that_registers_as_cold_gets_its_cold_rate_from_the_first_request_on() {
    core.updateBackend(backend("i-1", "plain", 5_000), 0);

    assertThat(placements("plain", 0, 200)).hasSizeLessThanOrEqualTo(6);
    assertThat(mostInWindow(placements("plain", 200, 5_000))).isBetween(23L, 27L);
    assertThat(mostInWindow(placements("plain", 5_000, 7_000))).isGreaterThanOrEqualTo(100);
  }

  @Test
  void a_server_that_registers_for_the_first_time_is_cold_whatever_it_states() {
    core.updateBackend(backend("i-1", "plain", 0), 0);

    assertThat(placements("plain", 0, 1_000)).hasSizeBetween(22, 27);
    core.updateBackend(backend("i-1", "plain", 0), 1_200);
    assertThat(placements("plain", 1_200, 2_200)).hasSizeGreaterThanOrEqualTo(100);
  }

  @Test
  void a_server_that_becomes_cold_again_is_limited_again() {
    core.updateBackend(backend("i-1", "plain", 0), 0);
    placements("plain", 0, 2_000);

    core.updateBackend(backend("i-1", "plain", 1_500), 2_000);

    assertThat(placements("plain", 2_000, 3_000)).hasSizeBetween(22, 27);
  }

  @Test
  void a_service_without_cold_figures_is_not_limited() {
    core.updateBackend(backend("i-1", "other", LONG_COLD_MILLIS), 0);

    assertThat(placements("other", 0, 1_000)).hasSizeGreaterThanOrEqualTo(100);
  }

  @Test
  void the_lower_of_the_stated_and_the_cold_limit_counts() {
    core.updateBackend(backend("i-1", "plain", LONG_COLD_MILLIS), 0);

    limits.state("i-1", 4, 0, 10);
    assertThat(mostInWindow(placements("plain", 10, 3_000))).isBetween(4L, 6L);
    limits.state("i-1", 400, 3_000, 3_000);
    assertThat(mostInWindow(placements("plain", 3_000, 6_000))).isBetween(23L, 27L);
  }

  @Test
  void cold_times_travel_as_the_time_that_is_left() {
    core.updateBackend(backend("i-1", "plain", 5_000), 0);
    List<BackendRecord> sent =
        limits.coldServers().withColdTimes(List.of(backend("i-1", "plain", 5_000)), 3_000);
    RequestRateLimits successor = RequestRateLimits.ofScheduler();
    newCore(1, successor, 2);

    successor.coldServers().setCatalog(catalog(new ColdStart(1, COLD_PER_SECOND)));
    sent.forEach(record -> successor.coldServers().restore(record, 90_000));

    assertThat(sent).singleElement().matches(record -> record.getColdLeftMillis() == 2_000);
    assertThat(successor.coldServers().isLimited("i-1", 91_900)).isTrue();
    assertThat(successor.coldServers().isLimited("i-1", 92_100)).isFalse();
  }

  @Test
  void a_server_that_a_gateway_knew_does_not_count_as_new_to_the_next_leader() {
    limits.coldServers().restore(backend("i-1", "plain", 0), 0);
    core.updateBackend(backend("i-1", "plain", 0), 0);

    assertThat(placements("plain", 0, 1_000)).hasSizeGreaterThanOrEqualTo(100);
  }

  @Test
  void servers_of_a_data_centre_are_cold_until_a_registration_says_otherwise() {
    core.updateBackend(backend("i-1", "plain", 0), 0);
    placements("plain", 0, 2_000);

    core.markColdUntilRegistered("other", 2_000);
    assertThat(placements("plain", 2_000, 3_000)).hasSizeGreaterThanOrEqualTo(100);
    core.markColdUntilRegistered("a", 3_000);
    assertThat(placements("plain", 3_000, 8_000)).hasSizeBetween(118, 124);
    assertThat(limits.coldServers().takeUnpublished()).containsExactly("i-1");
    assertThat(limits.coldServers().withColdTimes(List.of(backend("i-1", "plain", 0)), 8_000))
        .allMatch(BackendRecord::getColdUntilRegistered);

    core.updateBackend(backend("i-1", "plain", 0), 8_000);
    assertThat(placements("plain", 8_000, 9_000)).hasSizeGreaterThanOrEqualTo(100);
  }

  @Test
  void a_server_that_crashed_is_cold_when_it_is_used_again() {
    core.updateBackend(backend("i-1", "plain", 0), 0);
    placements("plain", 0, 2_000);

    core.backendCrashed("i-1", 2_000);
    placements("plain", 2_000, 20_000);
    assertThat(placements("plain", 20_000, 21_000)).hasSizeBetween(22, 27);

    core.updateBackend(backend("i-1", "plain", 0), 21_000);
    assertThat(placements("plain", 21_000, 22_000)).hasSizeBetween(22, 27);
    assertThat(placements("plain", 22_000, 23_000)).hasSizeGreaterThanOrEqualTo(100);
  }

  @Test
  void a_request_that_continues_on_its_backup_engine_counts_against_the_cold_rate() {
    core.updateBackend(engine(1, LONG_COLD_MILLIS), 0);
    RequestId requestId = new RequestId("g", 1);
    PlacementRequest irreplaceable =
        request("engines").setId(1).setEngine(true).setPromptTokens(100).build();
    core.updateBackend(engine(2, LONG_COLD_MILLIS), 0);
    core.restoreRunning(
        requestId,
        RunningDispatch.newBuilder()
            .setAsk(irreplaceable)
            .setBackend("i-1")
            .setBackup("i-2")
            .setOutputTokens(8)
            .build(),
        1_000);
    assertThat(limits.accruedRequests("i-2", 1_000)).isGreaterThan(1);

    core.requestEnded(requestId, DispatchOutcome.DISPATCH_OUTCOME_MOVED, 8, 1_000);

    assertThat(limits.accruedRequests("i-2", 1_000)).isLessThan(1.3);
    assertThat(limits.allows("i-2", 1_000)).isEqualTo(limits.accruedRequests("i-2", 1_000) >= 1);
  }
}
