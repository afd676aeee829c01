package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

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

/** Guards against a reserve for which nothing is known, and one that no small share can hold. */
class AdmissionTest {
  private long nextId = 1;

  private static DispatchCore core(int capacityShares, int engines) {
    DispatchCore core =
        new DispatchCore(
            new RetryLimits(0.2, 10, 10_000),
            capacityShares,
            new SplittableRandom(1),
            Set.of(),
            SharedKnowledge.ofScheduler(),
            new DispatchFeatures(true));
    EngineCapabilities engine = new EngineCapabilities(24, 27_064, 4, true, true);
    core.setCatalog(
        new Catalog(
            1,
            List.of(),
            List.of(new ServiceSpec("engines", 100, engine)),
            RequestLimits.standard(),
            null));
    for (int i = 0; i < engines; i++) {
      core.updateBackend(
          BackendRecord.newBuilder().setId("x" + i).setService("engines").setSlots(24).build(), 0);
    }
    return core;
  }

  private boolean isPlaced(DispatchCore core, int priority, long nowMillis) {
    PlacementRequest request =
        PlacementRequest.newBuilder()
            .setId(nextId)
            .setService("engines")
            .setRoute("priority-" + priority)
            .setPriority(priority)
            .setPromptTokens(2_500)
            .setMaxOutputTokens(20)
            .setTargetLeftMillis(10_000)
            .setDeadlineLeftMillis(30_000)
            .setEngine(true)
            .build();
    core.submit(new RequestId("gateway", nextId++), request, nowMillis);
    return core.drainDecisions().stream().anyMatch(DispatchDecision.Place.class::isInstance);
  }

  @Test
  void a_new_leader_places_less_urgent_requests_on_all_memory() {
    DispatchCore core = core(1, 1);
    for (int i = 0; i < 10; i++) {
      assertThat(isPlaced(core, 2, i)).isTrue();
    }
    assertThat(core.drainReserveChanges()).isEmpty();
  }

  @Test
  void memory_that_an_urgent_load_needs_is_not_given_to_less_urgent_requests() {
    DispatchCore core = core(1, 1);
    for (int i = 0; i < 6; i++) {
      assertThat(isPlaced(core, 0, i)).isTrue();
      core.requestEnded(
          new RequestId("gateway", nextId - 1), DispatchOutcome.DISPATCH_OUTCOME_ANSWERED, 20, i);
    }
    int placed = 0;
    while (isPlaced(core, 2, 10)) {
      placed++;
    }

    assertThat(placed).isBetween(1, 9);
    assertThat(core.drainReserveChanges()).isNotEmpty();
    assertThat(isPlaced(core, 0, 11)).isTrue();
  }

  @Test
  void a_gateway_with_a_small_share_places_less_urgent_requests_beside_urgent_ones() {
    DispatchCore core = core(65, 42);
    for (int i = 0; i < 6; i++) {
      assertThat(isPlaced(core, 0, i * 500L)).isTrue();
    }

    assertThat(isPlaced(core, 2, 3_000)).isTrue();
  }
}
