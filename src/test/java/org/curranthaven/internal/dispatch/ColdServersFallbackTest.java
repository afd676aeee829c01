package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.curranthaven.internal.dispatch.ColdFixture.BOUND;
import static org.curranthaven.internal.dispatch.ColdFixture.LONG_COLD_MILLIS;
import static org.curranthaven.internal.dispatch.ColdFixture.backend;
import static org.curranthaven.internal.dispatch.ColdFixture.mostInWindow;
import static org.curranthaven.internal.dispatch.ColdFixture.newCore;
import static org.curranthaven.internal.dispatch.ColdFixture.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against cold backend servers that get more requests than their bound, from all hosts
 * together, while many gateways place requests unknown to each other.
 */
class ColdServersFallbackTest {
  private static final int GATEWAYS = 95;
  private static final int SERVERS = 8;
  private static final int MAX_DELAY_MILLIS = 15;
  private static final long LOCAL_TICK_MILLIS = 100;

  private long nextId = 1;

  private record Completion(long atMillis, RequestId requestId) {}

  /** Gateways, of which each places its own requests while there is no scheduler. */
  private final class Fleet {
    private final RandomGenerator random;
    private final List<RequestRateLimits> gatewayLimits = new ArrayList<>();
    private final List<DispatchCore> gateways = new ArrayList<>();
    private final Map<String, List<Long>> arrivalsMillis = new LinkedHashMap<>();
    private final PriorityQueue<Completion> completions =
        new PriorityQueue<>(Comparator.comparingLong(Completion::atMillis));
    private RequestRateLimits schedulerLimits = RequestRateLimits.ofScheduler();
    private DispatchCore scheduler = newCore(1, schedulerLimits, 1);
    private final long seed;

    /** Gateways with a lower number than this follow the scheduler; the others have none. */
    private int connected = GATEWAYS;

    Fleet(long seed) {
      this.seed = seed;
      random = new SplittableRandom(seed);
      for (int i = 0; i < GATEWAYS; i++) {
        RequestRateLimits gatewayLimit =
            RequestRateLimits.ofGateway(new SplittableRandom(i + seed));
        gatewayLimits.add(gatewayLimit);
        gateways.add(newCore(GATEWAYS, gatewayLimit, i));
      }
    }

    /** Registers a server with the scheduler, which publishes it. */
    void register(String id, long coldLeftMillis, long nowMillis) {
      BackendRecord record = backend(id, "plain", coldLeftMillis);
      scheduler.updateBackend(record, nowMillis);
      publish(record, nowMillis);
    }

    void publish(BackendRecord record, long nowMillis) {
      BackendRecord published =
          schedulerLimits.coldServers().withColdTimes(List.of(record), nowMillis).getFirst();
      gateways.forEach(gateway -> gateway.updateBackend(published, nowMillis));
    }

    /** Cuts all but some gateways off from the scheduler, which knows how many there are. */
    void loseScheduler(int connectedGateways, long nowMillis) {
      for (int i = connectedGateways; i < connected; i++) {
        RequestRateLimits gatewayLimit = gatewayLimits.get(i);
        gatewayLimit.setShare(1.0 / GATEWAYS);
        DispatchCore fallback = newCore(GATEWAYS, gatewayLimit, i + seed);
        knownBackends(gatewayLimit, nowMillis)
            .forEach(known -> fallback.updateBackend(known, nowMillis));
        gateways.set(i, fallback);
      }
      connected = connectedGateways;
      schedulerLimits.setShare((double) connected / GATEWAYS);
    }

    private static List<BackendRecord> knownBackends(
        RequestRateLimits gatewayLimit, long nowMillis) {
      List<BackendRecord> records = new ArrayList<>();
      for (int i = 0; i < SERVERS; i++) {
        records.add(backend("i-" + i, "plain", 0));
      }
      return gatewayLimit.coldServers().withColdTimes(records, nowMillis);
    }

    /** Starts the next scheduler, which knows only what the gateways report. */
    void startNextScheduler(long nowMillis) {
      schedulerLimits = RequestRateLimits.ofScheduler();
      scheduler = newCore(1, schedulerLimits, 3);
      for (RequestRateLimits gatewayLimit : gatewayLimits) {
        for (BackendRecord known : knownBackends(gatewayLimit, nowMillis)) {
          schedulerLimits.coldServers().restore(known, nowMillis);
        }
      }
      knownBackends(gatewayLimits.getFirst(), nowMillis)
          .forEach(known -> scheduler.updateBackend(known, nowMillis));
      connected = GATEWAYS;
    }

    /** Offers requests in a period; they reach their servers after random delays. */
    void run(int requestsPerSecond, long fromMillis, long toMillis) {
      for (long nowMillis = fromMillis; nowMillis < toMillis; nowMillis++) {
        endRequests(nowMillis);
        if (random.nextDouble() * 1_000 < requestsPerSecond) {
          int gateway = random.nextInt(GATEWAYS);
          long id = nextId++;
          placer(gateway)
              .submit(
                  new RequestId(String.valueOf(gateway), id),
                  request("plain").setId(id).build(),
                  nowMillis);
          apply(placer(gateway), nowMillis);
        }
        tick(nowMillis);
      }
    }

    private DispatchCore placer(int gateway) {
      return gateway < connected ? scheduler : gateways.get(gateway);
    }

    private void tick(long nowMillis) {
      if (connected > 0 && nowMillis % 40 == 0) {
        scheduler.tick(nowMillis);
        apply(scheduler, nowMillis);
      }
      for (int i = connected; i < GATEWAYS; i++) {
        if ((nowMillis + i * 7L) % LOCAL_TICK_MILLIS == 0) {
          gateways.get(i).tick(nowMillis);
          apply(gateways.get(i), nowMillis);
        }
      }
    }

    private void endRequests(long nowMillis) {
      while (!completions.isEmpty() && completions.peek().atMillis() <= nowMillis) {
        RequestId requestId = completions.remove().requestId();
        DispatchCore placer = placer(Integer.parseInt(requestId.gateway()));
        placer.requestEnded(requestId, DispatchOutcome.DISPATCH_OUTCOME_ANSWERED, 0, nowMillis);
        apply(placer, nowMillis);
      }
    }

    private void apply(DispatchCore placer, long nowMillis) {
      for (DispatchDecision decision : placer.drainDecisions()) {
        if (decision instanceof DispatchDecision.Place place) {
          long arrivalMillis = nowMillis + random.nextInt(MAX_DELAY_MILLIS);
          arrivalsMillis
              .computeIfAbsent(place.backend(), id -> new ArrayList<>())
              .add(arrivalMillis);
          completions.add(new Completion(arrivalMillis + 43, place.requestId()));
        }
      }
    }

    long mostArrivals(String id, long fromMillis) {
      return mostInWindow(
          arrivalsMillis.getOrDefault(id, List.of()).stream()
              .filter(arrival -> arrival >= fromMillis)
              .toList());
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void ninety_five_gateways_without_a_scheduler_keep_the_bound(long seed) {
    Fleet fleet = new Fleet(seed);
    for (int i = 0; i < SERVERS; i++) {
      fleet.register("i-" + i, LONG_COLD_MILLIS, 0);
    }
    fleet.loseScheduler(0, 0);

    fleet.run(10, 0, 5_000);
    fleet.run(900, 5_000, 12_000);

    for (int i = 0; i < SERVERS; i++) {
      assertThat(fleet.mostArrivals("i-" + i, 0)).isBetween(15L, BOUND);
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void the_bound_holds_while_the_leader_changes(long seed) {
    Fleet fleet = new Fleet(seed);
    for (int i = 0; i < SERVERS; i++) {
      fleet.register("i-" + i, LONG_COLD_MILLIS, 0);
    }

    fleet.run(900, 0, 3_000);
    fleet.loseScheduler(0, 3_000);
    fleet.run(900, 3_000, 5_500);
    fleet.startNextScheduler(5_500);
    fleet.run(900, 5_500, 9_000);
    fleet.loseScheduler(0, 9_000);
    fleet.run(900, 9_000, 9_400);
    fleet.startNextScheduler(9_400);
    fleet.run(900, 9_400, 12_000);

    for (int i = 0; i < SERVERS; i++) {
      assertThat(fleet.mostArrivals("i-" + i, 0)).isBetween(15L, BOUND);
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void the_bound_holds_for_a_server_that_becomes_cold_in_the_middle_of_traffic(long seed) {
    Fleet fleet = new Fleet(seed);
    for (int i = 0; i < SERVERS; i++) {
      fleet.register("i-" + i, 0, 0);
    }
    fleet.run(900, 0, 3_000);

    fleet.register("i-0", LONG_COLD_MILLIS, 3_000);
    fleet.run(900, 3_000, 5_000);
    fleet.loseScheduler(0, 5_000);
    fleet.run(900, 5_000, 8_000);

    // What was placed before the registration is on its way for some milliseconds.
    assertThat(fleet.mostArrivals("i-0", 3_000 + MAX_DELAY_MILLIS)).isBetween(15L, BOUND);
    assertThat(fleet.mostArrivals("i-1", 3_000)).isGreaterThan(BOUND);
  }

  @ParameterizedTest
  @ValueSource(ints = {5, 30, 60, 90})
  void the_bound_holds_while_some_gateways_are_cut_off_from_the_scheduler(int connectedGateways) {
    Fleet fleet = new Fleet(1);
    for (int i = 0; i < SERVERS; i++) {
      fleet.register("i-" + i, LONG_COLD_MILLIS, 0);
    }
    fleet.run(900, 0, 2_000);

    fleet.loseScheduler(connectedGateways, 2_000);
    fleet.run(900, 2_000, 8_000);

    for (int i = 0; i < SERVERS; i++) {
      assertThat(fleet.mostArrivals("i-" + i, 0)).isBetween(15L, BOUND);
    }
  }
}
