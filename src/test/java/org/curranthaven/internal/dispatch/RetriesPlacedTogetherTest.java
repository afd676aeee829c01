package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.RequestLimits;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against retries past the limit that were allowed one after the other, waited for room, and
 * reach the backend servers together with those that are allowed after them.
 */
@Timeout(60)
class RetriesPlacedTogetherTest {
  private static final RetryLimits LIMITS = new RetryLimits(0.2, 50, 10_000);
  private static final String GATEWAY = "g";
  private static final String SERVER = "i-1";
  private static final long STEP_MILLIS = 10;
  private static final long DURATION_MILLIS = 60_000;
  private static final long RESPONSE_MILLIS = 30;

  /** Retries are asked for as often as the limit allows them. */
  private static final int RETRY_EVERY_STEPS = 4;

  private static final long REST_MILLIS = 5_000;

  /** No multiple of the window, so that rests meet the retries of each part of it. */
  private static final long REST_INTERVAL_MILLIS = 13_000;

  private final RestTimes restTimes = new RestTimes();
  private final List<Long> requests = new ArrayList<>();
  private final List<Long> repeats = new ArrayList<>();
  private final Set<Long> retryIds = new HashSet<>();
  private final Map<RequestId, Long> endAtMillis = new HashMap<>();
  private Consumer<Long> requestListener = nowMillis -> {};
  private long nextId = 1;

  private DispatchCore newCore(RetryAccounts retries) {
    DispatchCore core =
        new DispatchCore(
            LIMITS,
            1,
            new SplittableRandom(1),
            Set.of(),
            new SharedKnowledge(
                new CrashEvidence(),
                RequestRateLimits.ofScheduler(),
                new StreamOrigins(),
                restTimes,
                new ServerCapacities(),
                retries),
            DispatchFeatures.none());
    core.setCatalog(
        new Catalog(
            1,
            List.of(),
            List.of(new ServiceSpec("plain", 1_000, null)),
            RequestLimits.standard(),
            null));
    core.updateBackend(
        BackendRecord.newBuilder()
            .setId(SERVER)
            .setService("plain")
            .setAddress("10.0.0.1:80")
            .setSlots(1_000)
            .setSequence(1)
            .build(),
        0);
    return core;
  }

  private void submit(DispatchCore core, boolean repeat, long nowMillis) {
    long id = nextId++;
    if (repeat) {
      retryIds.add(id);
    } else {
      requests.add(nowMillis);
      requestListener.accept(nowMillis);
    }
    core.submit(
        new RequestId(GATEWAY, id),
        PlacementRequest.newBuilder()
            .setId(id)
            .setService("plain")
            .setTargetLeftMillis(6_000)
            .setDeadlineLeftMillis(9_000)
            .setRepeat(repeat)
            .setCounted(repeat)
            .build(),
        nowMillis);
  }

  private void advance(DispatchCore core, long nowMillis) {
    core.tick(nowMillis);
    for (DispatchDecision decision : core.drainDecisions()) {
      if (decision instanceof DispatchDecision.Place placement) {
        endAtMillis.put(placement.requestId(), nowMillis + RESPONSE_MILLIS);
        if (retryIds.contains(placement.requestId().id())) {
          repeats.add(nowMillis);
        }
      }
    }
    List<RequestId> ended =
        endAtMillis.entrySet().stream()
            .filter(entry -> entry.getValue() <= nowMillis)
            .map(Map.Entry::getKey)
            .toList();
    for (RequestId id : ended) {
      endAtMillis.remove(id);
      core.requestEnded(id, DispatchOutcome.DISPATCH_OUTCOME_ANSWERED, 0, nowMillis);
    }
  }

  /** Runs a load beside a server that rests and works in turn. */
  private void run(DispatchCore core) {
    for (long nowMillis = 0; nowMillis < DURATION_MILLIS; nowMillis += STEP_MILLIS) {
      if (nowMillis >= 2 * LIMITS.windowMillis() && nowMillis % REST_INTERVAL_MILLIS == 0) {
        restTimes.state(GATEWAY, SERVER, nowMillis + REST_MILLIS, nowMillis);
      }
      submit(core, false, nowMillis);
      if (nowMillis / STEP_MILLIS % RETRY_EVERY_STEPS == 0) {
        submit(core, true, nowMillis);
      }
      advance(core, nowMillis);
    }
  }

  private double worstExcess() {
    long window = LIMITS.windowMillis();
    double worst = -LIMITS.fixedRetries();
    for (long start : repeats) {
      long sent =
          Math.max(
              count(requests, start),
              Math.max(count(requests, start - window), count(requests, start - window / 2)));
      worst =
          Math.max(worst, count(repeats, start) - LIMITS.ratio() * sent - LIMITS.fixedRetries());
    }
    return worst;
  }

  private static long count(List<Long> times, long start) {
    return times.stream()
        .filter(time -> time >= start && time < start + LIMITS.windowMillis())
        .count();
  }

  @Test
  void retries_that_waited_for_a_resting_server_count_when_they_are_placed() {
    SchedulerRetries retries = new SchedulerRetries();
    retries.start(false, 0);

    run(newCore(retries));

    assertThat(worstExcess()).as("retries past the limit in the worst window").isNotPositive();
    assertThat(repeats).as("retries at all").hasSizeGreaterThan(600);
  }

  @Test
  void retries_that_waited_without_a_scheduler_count_when_they_are_placed() {
    GatewayRetries retries = new GatewayRetries(-60_000);
    requestListener = nowMillis -> retries.requestArrived("plain", LIMITS, nowMillis);

    run(newCore(retries));

    double reserve = RetryReserve.maxRetries(1_000, 1, LIMITS);
    long most = repeats.stream().mapToLong(start -> count(repeats, start)).max().orElse(0);
    assertThat((double) most).as("retries on the reserve in a window").isLessThanOrEqualTo(reserve);
  }
}
