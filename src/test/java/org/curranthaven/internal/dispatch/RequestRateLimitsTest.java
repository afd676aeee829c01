package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.catalog.RequestLimits;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.junit.jupiter.api.Test;

/** Guards against backend servers that get more requests than the limit that they state. */
class RequestRateLimitsTest {
  private static final long WINDOW_MILLIS = 4_000;
  private static final long TICK_MILLIS = 40;

  private final RequestRateLimits limits = RequestRateLimits.ofScheduler();
  private final DispatchCore core = newCore(1, limits);
  private long nextId = 1;

  private static DispatchCore newCore(int capacityShares, RequestRateLimits limits) {
    DispatchCore core =
        new DispatchCore(
            new RetryLimits(0.2, 10, 10_000),
            capacityShares,
            new SplittableRandom(1),
            Set.of(),
            new SharedKnowledge(new CrashEvidence(), limits, new StreamOrigins(), new RestTimes()));
    core.setCatalog(
        new Catalog(
            1,
            List.of(),
            List.of(
                new ServiceSpec("plain", 100, null),
                new ServiceSpec("engines", 100, new EngineCapabilities(8, 20_000, 4, true, true))),
            RequestLimits.standard(),
            null));
    return core;
  }

  private static BackendRecord backend(String id, String service) {
    return BackendRecord.newBuilder()
        .setId(id)
        .setService(service)
        .setSoftwareVersion("v1")
        .setSlots(8)
        .build();
  }

  private static PlacementRequest.Builder plainRequest() {
    return PlacementRequest.newBuilder()
        .setService("plain")
        .setTargetLeftMillis(400)
        .setDeadlineLeftMillis(3_000);
  }

  private RequestId submit(PlacementRequest.Builder request, long nowMillis) {
    RequestId requestId = new RequestId("gateway", nextId++);
    core.submit(requestId, request.setId(requestId.id()).build(), nowMillis);
    return requestId;
  }

  private RequestId placeOn(String backend, long nowMillis) {
    RequestId requestId = submit(plainRequest(), nowMillis);
    assertThat(core.drainDecisions())
        .containsExactly(new DispatchDecision.Place(requestId, backend, 0, ""));
    return requestId;
  }

  private void complete(RequestId requestId, long nowMillis) {
    core.requestEnded(requestId, DispatchOutcome.DISPATCH_OUTCOME_ANSWERED, 0, nowMillis);
  }

  /** Offers ten requests a second from the given time on and returns when each was placed. */
  private List<Long> placements(long fromMillis, long toMillis) {
    List<Long> placedAtMillis = new ArrayList<>();
    for (long nowMillis = fromMillis; nowMillis < toMillis; nowMillis += TICK_MILLIS) {
      if (nowMillis % 100 < TICK_MILLIS) {
        submit(plainRequest(), nowMillis);
      }
      core.tick(nowMillis);
      for (DispatchDecision decision : core.drainDecisions()) {
        if (decision instanceof DispatchDecision.Place place) {
          placedAtMillis.add(nowMillis);
          complete(place.requestId(), nowMillis);
        }
      }
    }
    return placedAtMillis;
  }

  private static long mostInWindow(List<Long> timesMillis) {
    return timesMillis.stream()
        .mapToLong(
            start ->
                timesMillis.stream()
                    .filter(time -> time >= start && time < start + WINDOW_MILLIS)
                    .count())
        .max()
        .orElse(0);
  }

  @Test
  void a_backend_server_gets_the_stated_rate_also_where_its_rejections_are_retried() {
    core.updateBackend(backend("i-1", "plain"), 0);
    RequestId first = placeOn("i-1", 0);
    core.rateLimitStated(first, "i-1", 3.6, 10);
    core.requestEnded(first, DispatchOutcome.DISPATCH_OUTCOME_REJECTED, 0, 10);

    List<Long> placed = placements(200, 30_000);

    assertThat(mostInWindow(placed)).isBetween(13L, 16L);
  }

  @Test
  void a_stated_zero_leaves_one_request_in_five_seconds_which_tells_of_the_end() {
    core.updateBackend(backend("i-1", "plain"), 0);
    core.rateLimitStated(placeOn("i-1", 0), "i-1", 0, 10);

    assertThat(placements(200, 21_000)).hasSize(4);
  }

  @Test
  void a_changed_number_counts_from_the_next_request_on() {
    core.updateBackend(backend("i-1", "plain"), 0);
    core.rateLimitStated(placeOn("i-1", 0), "i-1", 1, 10);
    assertThat(mostInWindow(placements(200, 10_000))).isLessThanOrEqualTo(5);

    core.rateLimitStated(new RequestId("gateway", 0), "i-1", 5, 10_000);
    assertThat(mostInWindow(placements(10_000, 20_000))).isBetween(18L, 22L);
  }

  @Test
  void only_a_response_to_a_request_placed_after_the_limit_was_stated_ends_it() {
    core.updateBackend(backend("i-1", "plain"), 0);
    RequestId early = placeOn("i-1", 0);
    RequestId limited = placeOn("i-1", 0);
    core.rateLimitStated(limited, "i-1", 2, 100);

    assertThat(core.noRateLimitStated(early, "i-1", 200)).isFalse();
    assertThat(limits.isLimited("i-1")).isTrue();

    RequestId later = placeOn("i-1", 700);
    assertThat(core.noRateLimitStated(later, "i-1", 750)).isTrue();
    assertThat(limits.isLimited("i-1")).isFalse();
  }

  @Test
  void a_response_that_a_later_one_has_overtaken_does_not_bring_a_limit_back() {
    limits.state("i-1", 2, 0, 100);
    limits.end("i-1", 500, 550);

    assertThat(limits.state("i-1", 2, 50, 600)).isFalse();
    assertThat(limits.isLimited("i-1")).isFalse();
    assertThat(limits.state("i-1", 2, 520, 650)).isTrue();
    assertThat(limits.isLimited("i-1")).isTrue();
  }

  @Test
  void a_response_that_waited_longer_than_others_can_overtake_it_states_a_limit() {
    limits.state("i-1", 2, 0, 100);
    limits.end("i-1", 500, 550);

    assertThat(limits.state("i-1", 2, 50, 551 + RequestRateLimits.OVERTAKING_MILLIS)).isTrue();
  }

  @Test
  void the_share_of_a_backend_server_comes_back_step_by_step() {
    core.updateBackend(backend("i-1", "plain"), 0);
    core.rateLimitStated(placeOn("i-1", 0), "i-1", 1, 10);
    assertThat(core.noRateLimitStated(placeOn("i-1", 1_100), "i-1", 1_150)).isTrue();

    assertThat(placements(1_200, 2_200)).hasSizeBetween(1, 4);
    assertThat(placements(1_150 + RequestRateLimits.RAMP_MILLIS, 4_200)).hasSizeGreaterThan(8);
  }

  @Test
  void the_next_incarnation_of_a_backend_server_has_no_limit() {
    core.updateBackend(backend("i-1", "plain"), 0);
    core.rateLimitStated(placeOn("i-1", 0), "i-1", 0, 10);
    core.updateBackend(backend("i-1", "plain").toBuilder().setLeaving(true).build(), 20);
    core.updateBackend(backend("i-2", "plain"), 20);

    placeOn("i-2", 30);
  }

  @Test
  void requests_beyond_all_limits_are_rejected_at_once_until_the_rate_allows_them() {
    core.updateBackend(backend("i-1", "plain"), 0);
    core.updateBackend(backend("i-2", "plain"), 0);
    for (String id : List.of("i-1", "i-2")) {
      core.rateLimitStated(new RequestId("gateway", 0), id, 1, 10);
    }

    RequestId queued = submit(plainRequest().setTargetLeftMillis(1_600), 20);
    RequestId queuedToo = submit(plainRequest().setTargetLeftMillis(1_600), 20);
    RequestId third = submit(plainRequest().setTargetLeftMillis(1_200), 20);
    submit(plainRequest().setTargetLeftMillis(1_200), 20);
    List<DispatchDecision> decisions = core.drainDecisions();

    assertThat(core.isQueued(queued)).isTrue();
    assertThat(core.isQueued(queuedToo)).isTrue();
    assertThat(decisions).hasSize(2);
    DispatchDecision.Reject reject = (DispatchDecision.Reject) decisions.getFirst();
    assertThat(reject.requestId()).isEqualTo(third);
    assertThat(reject.reason()).isEqualTo(RejectionReason.NO_ROOM_IN_TIME);
    assertThat(reject.retryAfterMillis()).isBetween(1_500L, 2_000L);
  }

  @Test
  void a_retry_that_only_a_limit_holds_back_does_not_hold_up_the_requests_behind_it() {
    core.updateBackend(backend("i-1", "plain"), 0);
    core.updateBackend(backend("i-2", "plain"), 0);
    core.rateLimitStated(new RequestId("gateway", 0), "i-2", 0.2, 10);
    RequestId retry = submit(plainRequest().addExcluded("i-1").setTargetLeftMillis(20_000), 20);
    assertThat(core.isQueued(retry)).isTrue();

    RequestId next = submit(plainRequest(), 30);

    assertThat(core.drainDecisions())
        .containsExactly(new DispatchDecision.Place(next, "i-1", 0, ""));
  }

  @Test
  void engines_with_free_memory_but_a_limit_are_forecast_by_their_rate() {
    core.updateBackend(backend("e-1", "engines"), 0);
    core.rateLimitStated(new RequestId("gateway", 0), "e-1", 0.5, 0);
    PlacementRequest.Builder request =
        PlacementRequest.newBuilder()
            .setService("engines")
            .setRoute("drafts")
            .setPromptTokens(100)
            .setMaxOutputTokens(100)
            .setTargetLeftMillis(1_500)
            .setDeadlineLeftMillis(30_000)
            .setEngine(true);

    submit(request, 10);
    DispatchDecision.Reject reject = (DispatchDecision.Reject) core.drainDecisions().getFirst();
    assertThat(reject.retryAfterMillis()).isBetween(2_000L, 2_600L);

    RequestId patient = submit(request.setTargetLeftMillis(3_000), 20);
    assertThat(core.isQueued(patient)).isTrue();
    core.tick(2_020);
    assertThat(core.drainDecisions()).hasSize(1);
  }

  @Test
  void a_migrated_request_counts_against_the_limit_of_its_target() {
    core.updateBackend(backend("e-1", "engines"), 0);
    PlacementRequest.Builder request =
        PlacementRequest.newBuilder()
            .setService("engines")
            .setRoute("drafts")
            .setPromptTokens(100)
            .setMaxOutputTokens(2_000)
            .setHintedOutputTokens(2_000)
            .setTargetLeftMillis(1_500)
            .setDeadlineLeftMillis(60_000)
            .setEngine(true);
    RequestId running = submit(request, 0);
    core.outputProgressed(running, 4, 100);
    core.updateBackend(backend("e-2", "engines"), 200);
    core.rateLimitStated(new RequestId("gateway", 0), "e-2", 1, 200);
    core.drainDecisions();

    core.updateBackend(backend("e-1", "engines").toBuilder().setLeaving(true).build(), 300);
    assertThat(core.drainDecisions()).isEmpty();
    core.tick(1_200);
    assertThat(core.drainDecisions())
        .isNotEmpty()
        .hasOnlyElementsOfType(DispatchDecision.Migrate.class);

    RequestId next = submit(request, 1_300);
    assertThat(core.drainDecisions())
        .noneMatch(decision -> decision instanceof DispatchDecision.Place);
    core.tick(2_250);
    assertThat(core.drainDecisions()).contains(new DispatchDecision.Place(next, "e-2", 0, ""));
  }

  @Test
  void gateways_in_local_fallback_keep_the_stated_rate_together() {
    double requestsPerSecond = 3;
    for (int gateways : new int[] {2, 8, 84}) {
      for (long seed = 1; seed <= 5; seed++) {
        List<Long> placed = placementsInFallback(gateways, requestsPerSecond, seed);
        assertThat(mostInWindow(placed))
            .as("%d gateways, seed %d", gateways, seed)
            .isLessThanOrEqualTo((long) (1.5 * requestsPerSecond * 4 + 5));
        assertThat(placed).as("%d gateways, seed %d", gateways, seed).hasSizeGreaterThan(10);
      }
    }
  }

  /** Offers each gateway its part of 84 requests a second for 20 s, after a quiet time. */
  private static List<Long> placementsInFallback(
      int gateways, double requestsPerSecond, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<DispatchCore> cores = new ArrayList<>();
    for (int i = 0; i < gateways; i++) {
      RequestRateLimits known = RequestRateLimits.ofGateway(random);
      known.setShare(1.0 / gateways);
      known.state("i-1", requestsPerSecond, 0, 0);
      DispatchCore core = newCore(gateways, known);
      core.updateBackend(backend("i-1", "plain"), 0);
      cores.add(core);
    }
    List<Long> placed = new ArrayList<>();
    long id = 1;
    for (long nowMillis = 60_000; nowMillis < 80_000; nowMillis += 100) {
      for (DispatchCore core : cores) {
        if (random.nextInt(gateways) < 8) {
          RequestId requestId = new RequestId("gateway", id++);
          core.submit(requestId, plainRequest().setId(requestId.id()).build(), nowMillis);
        }
        core.tick(nowMillis);
        for (DispatchDecision decision : core.drainDecisions()) {
          if (decision instanceof DispatchDecision.Place place) {
            placed.add(nowMillis);
            core.requestEnded(
                place.requestId(), DispatchOutcome.DISPATCH_OUTCOME_ANSWERED, 0, nowMillis);
          }
        }
      }
    }
    return placed;
  }
}
