package org.curranthaven.internal.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.RequestLimits;
import org.curranthaven.internal.dispatch.DispatchFeatures;
import org.curranthaven.internal.dispatch.RetryLimits;
import org.curranthaven.internal.relay.ManualTime;
import org.curranthaven.internal.relay.SimulatedGateway;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.HostRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Retries that exceed the limit since those who decide forget what others have sent. */
class RetriesPastBudgetTest {
  private static final RetryLimits LIMITS = new RetryLimits(0.2, 50, 10_000);
  private static final int GATEWAYS = 24;
  private static final int BACKENDS = 8;
  private static final long STEP_MILLIS = 10;
  private static final long WARM_UP_MILLIS = 11_000;
  private static final long DURATION_MILLIS = 45_000;
  private static final int SEEDS = 60;

  /** What happens to the hosts besides the load. */
  private record Disturbances(
      double cutsPerSecond, double leaderChangesPerSecond, double restartsPerSecond) {}

  /** Requests and repeats as callers and backend servers see them. */
  private static final class Observed implements SimulatedGateway.Arrivals {
    private final List<Long> requests = new ArrayList<>();
    private final List<Long> repeats = new ArrayList<>();

    @Override
    public void requested(long nowMillis) {
      requests.add(nowMillis);
    }

    @Override
    public void repeated(long nowMillis) {
      repeats.add(nowMillis);
    }

    /** Returns by how much the repeats of the worst window exceed the limit; below 0 if none do. */
    double worstExcess() {
      double worst = -LIMITS.fixedRetries();
      long window = LIMITS.windowMillis();
      for (long start : repeats) {
        int requestCount =
            Math.max(
                count(requests, start, window),
                Math.max(
                    count(requests, start - window, window),
                    count(requests, start - window / 2, window)));
        double limit = LIMITS.ratio() * requestCount + LIMITS.fixedRetries();
        worst = Math.max(worst, count(repeats, start, window) - limit);
      }
      return worst;
    }

    int repeatsFrom(long startMillis, long windowMillis) {
      return count(repeats, startMillis, windowMillis);
    }

    private static int count(List<Long> times, long start, long window) {
      return firstAtLeast(times, start + window) - firstAtLeast(times, start);
    }

    private static int firstAtLeast(List<Long> times, long limit) {
      int low = 0;
      int high = times.size();
      while (low < high) {
        int middle = (low + high) >>> 1;
        if (times.get(middle) < limit) {
          low = middle + 1;
        } else {
          high = middle;
        }
      }
      return low;
    }
  }

  /** Gateways and the leaders that follow one another, over simulated time. */
  private static final class Fleet {
    private final ManualTime time = new ManualTime();
    private final SplittableRandom random;
    private final Disturbances disturbances;
    private final Observed observed = new Observed();
    private final Map<String, SimulatedGateway> gateways = new HashMap<>();
    private final Map<String, Long> incarnations = new HashMap<>();
    private final Map<String, Long> cutUntilMillis = new HashMap<>();
    private final Map<String, Long> connectAtMillis = new HashMap<>();
    private final List<String> connected = new ArrayList<>();
    private final double[] cumulativeWeights = new double[GATEWAYS];
    private final Catalog catalog =
        new Catalog(8, List.of(), List.of(), RequestLimits.standard(), null);
    private Scheduler scheduler;
    private long term = 5;
    private long leaderStartsAtMillis;
    private boolean leading;
    private long sequence;

    Fleet(long seed, Disturbances disturbances) {
      this.random = new SplittableRandom(seed);
      this.disturbances = disturbances;
      double sum = 0;
      for (int i = 0; i < GATEWAYS; i++) {
        sum += 1.0 / (1 + i);
        cumulativeWeights[i] = sum;
        startGateway("g" + i);
        connected.add("g" + i);
      }
      scheduler = newScheduler();
      startLeading();
    }

    private HostRecord host(String gateway) {
      return HostRecord.newBuilder()
          .setName(gateway)
          .setIncarnation(incarnations.getOrDefault(gateway, 1L))
          .build();
    }

    private Scheduler newScheduler() {
      String leader = "control-" + term;
      return new Scheduler(
          time.loop(),
          time,
          random.split(),
          LIMITS,
          6_000,
          () -> true,
          () -> connected.stream().map(this::host).toList(),
          (gateway, message) -> deliver(leader, gateway, message.build()),
          new CommittingSchedulerLog(),
          (dataCentre, callback) -> callback.accept(true),
          DispatchFeatures.none());
    }

    private void startLeading() {
      leading = true;
      scheduler.setTerm(term, List.of());
      scheduler.applyCatalog(catalog, ByteString.copyFromUtf8("document"));
      registerBackends();
    }

    private void startGateway(String name) {
      incarnations.merge(name, 1L, Long::sum);
      gateways.put(
          name,
          new SimulatedGateway(
              name,
              time,
              random.split(),
              LIMITS,
              0.7,
              catalog,
              (leader, message) -> deliverToLeader(name, leader, message.build()),
              observed));
    }

    private boolean isCut(String gateway) {
      return cutUntilMillis.getOrDefault(gateway, 0L) > time.nowMillis();
    }

    private void deliver(String leader, String gateway, Envelope message) {
      SimulatedGateway receiver = gateways.get(gateway);
      if (receiver == null || isCut(gateway)) {
        return;
      }
      time.loop()
          .schedule(() -> receiver.received(leader, message), STEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void deliverToLeader(String gateway, String leader, Envelope message) {
      if (isCut(gateway) || !connected.contains(gateway)) {
        return;
      }
      HostRecord from = host(gateway);
      Scheduler receiver = scheduler;
      time.loop()
          .schedule(
              () -> handle(receiver, leader, from, message), STEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void handle(Scheduler receiver, String leader, HostRecord from, Envelope message) {
      boolean current =
          leading
              && receiver == scheduler
              && leader.equals("control-" + term)
              && from.getIncarnation() == incarnations.getOrDefault(from.getName(), 0L);
      if (!current) {
        return;
      }
      switch (message.getPayloadCase()) {
        case GATEWAY_STATUS -> scheduler.handleStatus(from, message.getGatewayStatus());
        case DISPATCH_REQUESTS -> scheduler.handleRequests(from, message.getDispatchRequests());
        default -> {}
      }
    }

    private void registerBackends() {
      sequence++;
      for (int i = 1; i <= BACKENDS; i++) {
        scheduler.register(
            BackendRecord.newBuilder()
                .setId("i-" + i)
                .setService("plain")
                .setAddress("10.0.0." + i + ":80")
                .setSlots(100)
                .setSequence(sequence)
                .build(),
            accepted -> {});
      }
    }

    private boolean happens(double perSecond) {
      return random.nextDouble() < perSecond * STEP_MILLIS / 1_000;
    }

    private String randomGateway() {
      return "g" + random.nextInt(GATEWAYS);
    }

    /** Runs the load, with the disturbances once every host has been there for a window. */
    Observed run() {
      long startMillis = time.nowMillis();
      while (time.nowMillis() - startMillis < DURATION_MILLIS) {
        // Busy and quiet times, as callers make them.
        boolean busy = (time.nowMillis() / 4_000) % 3 != 0;
        if (happens(busy ? 90 : 40)) {
          sendRequest();
        }
        if (time.nowMillis() - startMillis > WARM_UP_MILLIS) {
          disturb();
        }
        reconnect();
        if (time.nowMillis() % 1_000 == 0 && leading) {
          registerBackends();
        }
        time.advance(STEP_MILLIS);
      }
      return observed;
    }

    private void sendRequest() {
      double point = random.nextDouble() * cumulativeWeights[GATEWAYS - 1];
      int index = 0;
      while (cumulativeWeights[index] < point) {
        index++;
      }
      SimulatedGateway gateway = gateways.get("g" + index);
      if (gateway != null) {
        gateway.request();
      }
    }

    private void disturb() {
      if (happens(disturbances.cutsPerSecond())) {
        cut(randomGateway());
      }
      if (leading && happens(disturbances.leaderChangesPerSecond())) {
        endLeadership();
      }
      if (happens(disturbances.restartsPerSecond())) {
        restart(randomGateway());
      }
    }

    private void cut(String gateway) {
      long untilMillis = time.nowMillis() + 160 + random.nextInt(1_500);
      cutUntilMillis.put(gateway, untilMillis);
      if (random.nextBoolean()) {
        disconnect(gateway, untilMillis);
      }
    }

    private void disconnect(String gateway, long untilMillis) {
      if (connected.remove(gateway)) {
        HostRecord lost = host(gateway);
        if (leading) {
          scheduler.gatewayDisconnected(lost);
        }
        SimulatedGateway process = gateways.get(gateway);
        if (process != null) {
          process.disconnected("control-" + term);
        }
      }
      connectAtMillis.merge(gateway, untilMillis, Math::max);
    }

    private void restart(String gateway) {
      SimulatedGateway process = gateways.remove(gateway);
      if (process != null) {
        process.close();
        disconnect(gateway, time.nowMillis() + 300 + random.nextInt(2_000));
      }
    }

    private void endLeadership() {
      leading = false;
      boolean resigns = random.nextBoolean();
      if (resigns) {
        scheduler.setTerm(0, List.of());
      }
      term++;
      leaderStartsAtMillis = time.nowMillis() + 200 + random.nextInt(1_500);
      for (String gateway : List.copyOf(connected)) {
        connected.remove(gateway);
        SimulatedGateway process = gateways.get(gateway);
        if (process != null && !resigns && random.nextBoolean()) {
          process.disconnected("control-" + (term - 1));
        }
        // Some find the new leader late.
        long lateMillis = random.nextInt(4) == 0 ? random.nextInt(2_500) : 0;
        connectAtMillis.merge(gateway, leaderStartsAtMillis + lateMillis, Math::max);
      }
    }

    private void reconnect() {
      long nowMillis = time.nowMillis();
      if (!leading) {
        if (nowMillis < leaderStartsAtMillis) {
          return;
        }
        scheduler = newScheduler();
        scheduler.applyCatalog(catalog, ByteString.copyFromUtf8("document"));
        startLeading();
      }
      List<String> due =
          connectAtMillis.entrySet().stream()
              .filter(entry -> entry.getValue() <= nowMillis)
              .map(Map.Entry::getKey)
              .sorted()
              .toList();
      for (String gateway : due) {
        connectAtMillis.remove(gateway);
        if (!gateways.containsKey(gateway)) {
          startGateway(gateway);
        }
        connected.add(gateway);
        scheduler.gatewayConnected(host(gateway));
      }
    }
  }

  private static List<Double> excesses(int seeds, Disturbances disturbances) {
    List<Double> excesses = new ArrayList<>();
    for (long seed = 1; seed <= seeds; seed++) {
      excesses.add(new Fleet(seed, disturbances).run().worstExcess());
    }
    return excesses;
  }

  private static void assertWithinLimit(int seeds, Disturbances disturbances) {
    List<Double> excesses = excesses(seeds, disturbances);
    long exceeding = excesses.stream().filter(excess -> excess > 0).count();
    assertThat(Collections.max(excesses))
        .as("worst excess; %s of %s seeds exceed the limit", exceeding, seeds)
        .isLessThanOrEqualTo(0);
  }

  @ParameterizedTest
  @ValueSource(doubles = {10, 30})
  void gateways_that_lose_and_find_their_scheduler(double cutsPerSecond) {
    assertWithinLimit(4, new Disturbances(cutsPerSecond, 0, 0));
  }

  @Test
  void leaders_that_follow_one_another() {
    assertWithinLimit(4, new Disturbances(0, 0.4, 0));
  }

  @Test
  void gateways_that_restart_while_leaders_change() {
    assertWithinLimit(4, new Disturbances(0, 0.3, 2));
  }

  @Test
  void all_of_it_at_random_over_many_seeds() {
    SplittableRandom random = new SplittableRandom(48);
    for (int i = 0; i < SEEDS; i++) {
      Disturbances disturbances =
          new Disturbances(
              random.nextDouble(0, 12), random.nextDouble(0, 0.5), random.nextDouble(0, 1));
      double excess = new Fleet(100 + i, disturbances).run().worstExcess();
      assertThat(excess).as("seed %s, %s", 100 + i, disturbances).isLessThanOrEqualTo(0);
    }
  }

  @Test
  void retries_go_on_while_those_who_decide_change() {
    for (Disturbances disturbances :
        List.of(
            new Disturbances(10, 0, 0), new Disturbances(30, 0, 0), new Disturbances(0, 0.4, 0))) {
      Observed observed = new Fleet(1, disturbances).run();

      int requests = Observed.count(observed.requests, 16_000, 30_000);
      assertThat((double) observed.repeatsFrom(16_000, 30_000))
          .as(disturbances.toString())
          .isGreaterThan(0.4 * (LIMITS.ratio() * requests + 3 * LIMITS.fixedRetries()));
    }
  }

  @Test
  void a_steady_leader_allows_four_fifths_of_the_limit() {
    Observed observed = new Fleet(1, new Disturbances(0, 0, 0)).run();

    assertThat(observed.worstExcess()).isLessThanOrEqualTo(0);
    int requests = Observed.count(observed.requests, 21_000, 10_000);
    assertThat((double) observed.repeatsFrom(21_000, 10_000))
        .isGreaterThan(0.75 * (LIMITS.ratio() * requests + LIMITS.fixedRetries()));
  }
}
