package org.curranthaven.internal.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.RequestLimits;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.PlacementRequest;

/** Policies that a {@link PlainServerSimulation} compares. */
final class CapacityPolicies {
  private static final long TARGET_MILLIS = 1_500;

  private CapacityPolicies() {}

  /** The dispatch core, with or without placement by capacity. */
  static final class Core implements PlainServerSimulation.Policy {
    private final SharedKnowledge knowledge = SharedKnowledge.ofScheduler();
    private final DispatchCore core;
    private final List<String> servers;
    private final Map<String, BackendRecord> records = new HashMap<>();
    private final Map<Long, PlainServerSimulation.Request> open = new HashMap<>();
    private final boolean serversStateSlowness;
    private int rejected;

    Core(PlainServerSimulation simulation, Set<Mechanism> disabled) {
      this(simulation, disabled, true);
    }

    Core(PlainServerSimulation simulation, Set<Mechanism> disabled, boolean serversStateSlowness) {
      this.serversStateSlowness = serversStateSlowness;
      core =
          new DispatchCore(
              new RetryLimits(0.2, 10, 10_000), 1, new SplittableRandom(1), disabled, knowledge);
      core.setCatalog(
          new Catalog(
              1,
              List.of(),
              List.of(new ServiceSpec(PlainServerSimulation.SERVICE, 1_000, null)),
              RequestLimits.standard(),
              null));
      servers = simulation.serverIds();
      for (String id : servers) {
        BackendRecord record =
            BackendRecord.newBuilder()
                .setId(id)
                .setService(PlainServerSimulation.SERVICE)
                .setDataCentre("a")
                .setSlots(simulation.slotsOf(id))
                .setSequence(1)
                .build();
        records.put(id, record);
        core.updateBackend(record, 0);
      }
    }

    @Override
    public void submit(PlainServerSimulation.Request request, long nowMillis) {
      open.put(request.id, request);
      PlacementRequest.Builder placement =
          PlacementRequest.newBuilder()
              .setId(request.id)
              .setService(PlainServerSimulation.SERVICE)
              .setRoute(request.kind.route())
              .setTargetLeftMillis(TARGET_MILLIS)
              .setDeadlineLeftMillis(10_000)
              .setDataCentre("a");
      if (!request.kind.onlyServer().isEmpty()) {
        servers.stream()
            .filter(id -> !id.equals(request.kind.onlyServer()))
            .forEach(placement::addExcluded);
      }
      core.submit(new RequestId("g", request.id), placement.build(), nowMillis);
    }

    @Override
    public void ended(
        PlainServerSimulation.Request request, boolean failed, int percent, long nowMillis) {
      if (serversStateSlowness) {
        core.slownessStated(request.server, percent, nowMillis);
      }
      core.requestEnded(
          new RequestId("g", request.id),
          failed
              ? DispatchOutcome.DISPATCH_OUTCOME_FAILED
              : DispatchOutcome.DISPATCH_OUTCOME_ANSWERED,
          0,
          nowMillis);
    }

    @Override
    public void tick(long nowMillis) {
      core.tick(nowMillis);
    }

    @Override
    public List<PlainServerSimulation.Request> drainPlaced() {
      List<PlainServerSimulation.Request> placed = new ArrayList<>();
      for (DispatchDecision decision : core.drainDecisions()) {
        PlainServerSimulation.Request request = open.remove(decision.requestId().id());
        switch (decision) {
          case DispatchDecision.Place place -> {
            if (request != null) {
              request.server = place.backend();
              placed.add(request);
            }
          }
          case DispatchDecision.Reject ignored -> rejected++;
          case DispatchDecision.Migrate ignored -> {}
          case DispatchDecision.Stop ignored -> {}
        }
      }
      return placed;
    }

    int rejected() {
      return rejected;
    }

    LoadCurve curveOf(String id, long nowMillis) {
      BackendRecord record = records.get(id);
      if (record == null) {
        throw new IllegalArgumentException("no server " + id);
      }
      ServerCapacity capacity =
          knowledge.capacities().ofActive(new BackendState(record, nowMillis), nowMillis);
      if (capacity == null) {
        throw new IllegalStateException("the service is not active");
      }
      return capacity.curve(nowMillis);
    }
  }

  /** Places each request at once, by a cost. */
  abstract static class ByCost implements PlainServerSimulation.Policy {
    private final List<PlainServerSimulation.Request> placed = new ArrayList<>();
    private final SplittableRandom random = new SplittableRandom(7);
    final PlainServerSimulation simulation;

    ByCost(PlainServerSimulation simulation) {
      this.simulation = simulation;
    }

    abstract double cost(String server, long nowMillis);

    @Override
    public void submit(PlainServerSimulation.Request request, long nowMillis) {
      String only = request.kind.onlyServer();
      request.server =
          simulation.serverIds().stream()
              .filter(id -> only.isEmpty() || id.equals(only))
              .map(id -> new Rated(id, cost(id, nowMillis), random.nextDouble()))
              .min(Comparator.comparingDouble(Rated::cost).thenComparing(Rated::tieBreak))
              .orElseThrow()
              .server();
      placed.add(request);
    }

    private record Rated(String server, double cost, double tieBreak) {}

    @Override
    public void ended(
        PlainServerSimulation.Request request, boolean failed, int percent, long nowMillis) {}

    @Override
    public void tick(long nowMillis) {}

    @Override
    public List<PlainServerSimulation.Request> drainPlaced() {
      List<PlainServerSimulation.Request> drained = List.copyOf(placed);
      placed.clear();
      return drained;
    }
  }

  /** Knows the speed, the load and the slow phase of each server. */
  static final class Oracle extends ByCost {
    Oracle(PlainServerSimulation simulation) {
      super(simulation);
    }

    @Override
    double cost(String server, long nowMillis) {
      return simulation.expectedMillis(server) * (1 + 1e-6 * simulation.requestsOn(server));
    }
  }

  /** Chooses the server with the fewest requests, by its slots. */
  static final class LeastOutstanding extends ByCost {
    LeastOutstanding(PlainServerSimulation simulation) {
      super(simulation);
    }

    @Override
    double cost(String server, long nowMillis) {
      return (double) simulation.requestsOn(server) / simulation.slotsOf(server);
    }
  }
}
