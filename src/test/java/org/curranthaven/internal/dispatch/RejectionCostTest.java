package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.catalog.RequestLimits;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against rejections whose cost grows with the length of the queue. */
class RejectionCostTest {
  private static final int ROUNDS = 15;
  private static final int REJECTIONS = 2_000;

  private long nextId = 1;

  private PlacementRequest.Builder request(int promptTokens, long targetMillis) {
    return PlacementRequest.newBuilder()
        .setId(nextId)
        .setService("engines")
        .setRoute("drafts")
        .setWorkspace("workspace-" + nextId % 100)
        .setPriority(1)
        .setPromptTokens(promptTokens)
        .setMaxOutputTokens(100)
        .setTargetLeftMillis(targetMillis)
        .setDeadlineLeftMillis(1_000_000_000)
        .setEngine(true)
        .setFingerprint(nextId);
  }

  private DispatchCore coreWithQueued(int queued, boolean reserves) {
    DispatchCore core =
        new DispatchCore(
            new RetryLimits(0.2, 10, 10_000),
            1,
            new SplittableRandom(1),
            Set.of(),
            SharedKnowledge.ofScheduler(),
            new DispatchFeatures(reserves));
    EngineCapabilities engine = new EngineCapabilities(24, 27_064, 4, true, true);
    core.setCatalog(
        new Catalog(
            1,
            List.of(),
            List.of(new ServiceSpec("engines", 100, engine)),
            RequestLimits.standard(),
            null));
    core.updateBackend(
        BackendRecord.newBuilder().setId("x").setService("engines").setSlots(24).build(), 0);
    submit(core, request(26_000, 60_000));
    for (int i = 0; i < queued; i++) {
      submit(core, request(3_000, 1_000_000_000));
    }
    core.drainDecisions();
    assertThat(core.queuedRequests()).isEqualTo(queued);
    return core;
  }

  private void submit(DispatchCore core, PlacementRequest.Builder request) {
    core.submit(new RequestId("gateway", nextId++), request.build(), 0);
  }

  private long rejectionNanos(DispatchCore core) {
    long startNanos = System.nanoTime();
    for (int i = 0; i < REJECTIONS; i++) {
      submit(core, request(3_000, 10));
    }
    long nanos = (System.nanoTime() - startNanos) / REJECTIONS;
    assertThat(core.drainDecisions())
        .hasSize(REJECTIONS)
        .allMatch(decision -> decision instanceof DispatchDecision.Reject);
    return nanos;
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void a_rejection_costs_at_most_twice_as_much_with_20_000_queued_requests_as_with_200(
      boolean reserves) {
    DispatchCore shortQueue = coreWithQueued(200, reserves);
    DispatchCore longQueue = coreWithQueued(19_999, reserves);
    long[] shortNanos = new long[ROUNDS];
    long[] longNanos = new long[ROUNDS];
    for (int round = 0; round < ROUNDS; round++) {
      shortNanos[round] = rejectionNanos(shortQueue);
      longNanos[round] = rejectionNanos(longQueue);
    }
    Arrays.sort(shortNanos);
    Arrays.sort(longNanos);
    System.out.printf(
        "rejection with 200 queued %d ns, with 19,999 %d ns (medians), reserves %b%n",
        shortNanos[ROUNDS / 2], longNanos[ROUNDS / 2], reserves);

    assertThat(longNanos[ROUNDS / 2]).isLessThanOrEqualTo(2 * shortNanos[ROUNDS / 2]);
  }
}
