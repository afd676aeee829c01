package org.curranthaven.internal.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/** Chooses a backend server for a request according to a {@link Policy}. Not thread-safe. */
final class BackendChooser {
  private static final MemoryForecast EMPTY_FORECAST = new MemoryForecast();

  private final Policy policy;
  private final RandomGenerator random;
  private final HostTimeSlots timeSlots;
  private int nextRoundRobinIndex;

  BackendChooser(Policy policy, RandomGenerator random, HostTimeSlots timeSlots) {
    this.policy = policy;
    this.timeSlots = timeSlots;
    this.random = random;
  }

  /**
   * A request and the further input of the choice.
   *
   * @param outputLengths distribution of the request's output length
   * @param headroomBlocks memory to leave free on each backend server for classes with shorter
   *     targets, in blocks
   */
  record ChoiceInput(
      RequestAttributes request, OutputLengths outputLengths, double headroomBlocks) {}

  /**
   * A chosen backend server.
   *
   * @param admissibleCount number of backend servers that could have been chosen
   * @param peakMemoryShare forecast peak memory use, as a share of the backend server's memory; 0
   *     under a baseline policy
   */
  record Choice(BackendServerState backend, int admissibleCount, double peakMemoryShare) {}

  /** Returns a choice among {@code backends}, or null if the request must stay in the queue. */
  @Nullable Choice choose(ChoiceInput input, List<BackendServerState> backends, long nowMillis) {
    if (backends.isEmpty()) {
      return null;
    }
    return switch (policy) {
      case Policy.RoundRobin ignored ->
          baselineChoice(backends.get(nextRoundRobinIndex++ % backends.size()), backends);
      case Policy.LeastOutstanding ignored ->
          baselineChoice(
              Collections.min(backends, Comparator.comparingInt(BackendServerState::ownOpenCount)),
              backends);
      case Policy.LeastLoad ignored ->
          baselineChoice(Collections.min(backends, BY_REPORTED_LOAD), backends);
      case Policy.PowerOfTwo ignored -> baselineChoice(lessLoadedOfTwo(backends), backends);
      case Policy.Forecast forecast ->
          chooseByForecast(input, backends, forecast.options(), nowMillis);
    };
  }

  private static final Comparator<BackendServerState> BY_REPORTED_LOAD =
      Comparator.<BackendServerState>comparingDouble(
              backend ->
                  (double) backend.report().blocksUsed()
                      / Math.max(1, backend.report().blocksTotal()))
          .thenComparingInt(backend -> backend.report().running() + backend.report().waiting());

  private static Choice baselineChoice(
      BackendServerState backend, List<BackendServerState> backends) {
    return new Choice(backend, backends.size(), 0);
  }

  private BackendServerState lessLoadedOfTwo(List<BackendServerState> backends) {
    BackendServerState first = backends.get(random.nextInt(backends.size()));
    BackendServerState second = backends.get(random.nextInt(backends.size()));
    return BY_REPORTED_LOAD.compare(first, second) <= 0 ? first : second;
  }

  private @Nullable Choice chooseByForecast(
      ChoiceInput input,
      List<BackendServerState> backends,
      ForecastOptions options,
      long nowMillis) {
    MemoryForecast requestForecast = new MemoryForecast();
    RequestAttributes request = input.request();
    requestForecast.add(
        input.outputLengths(), request.promptTokens(), 0, request.maxOutputTokens());
    List<ScoredBackend> admissible = new ArrayList<>();
    for (BackendServerState backend : backends) {
      ScoredBackend scored = score(input, requestForecast, backend, options, nowMillis);
      if (scored != null) {
        admissible.add(scored);
      }
    }
    if (admissible.isEmpty()) {
      return null;
    }
    ScoredBackend best =
        Collections.min(sample(admissible, options), Comparator.comparing(ScoredBackend::cost));
    return new Choice(best.backend(), admissible.size(), best.peakMemoryShare());
  }

  /** Returns a random sample of the admissible backend servers; reorders the list. */
  private List<ScoredBackend> sample(List<ScoredBackend> admissible, ForecastOptions options) {
    int sampleSize = options.sampledServers();
    if (sampleSize <= 0 || admissible.size() <= sampleSize) {
      return admissible;
    }
    List<ScoredBackend> sample = new ArrayList<>(sampleSize);
    for (int i = 0; i < sampleSize; i++) {
      int j = random.nextInt(i, admissible.size());
      Collections.swap(admissible, i, j);
      sample.add(admissible.get(i));
    }
    return sample;
  }

  /** An admissible backend server; the one with the lowest cost is preferred. */
  private record ScoredBackend(BackendServerState backend, double cost, double peakMemoryShare) {}

  /** Returns the backend server with its cost, or null if it is not admissible. */
  private @Nullable ScoredBackend score(
      ChoiceInput input,
      MemoryForecast requestForecast,
      BackendServerState backend,
      ForecastOptions options,
      long nowMillis) {
    RequestAttributes request = input.request();
    BackendReport report = backend.report();
    int openCount = backend.totalOpenCount();
    int batchLimit = batchLimit(report, options, nowMillis);
    if (openCount >= batchLimit) {
      return null;
    }
    int otherHosts = timeSlots.count() - 1;
    boolean fitsOneFromEachHost = openCount + otherHosts < batchLimit;
    double peakMemoryShare = 0;
    if (report.blocksTotal() > 0) {
      double limitBlocks = options.memoryShare() * report.blocksTotal() - input.headroomBlocks();
      if (openCount > 0
          && backend.currentBlocks() + requestForecast.currentBlocks() > limitBlocks) {
        return null;
      }
      double peakBlocks =
          backend
              .forecast()
              .peakBlocks(requestForecast, options.deviations(), backend.unattributedBlocks());
      if (openCount > 0 && peakBlocks > limitBlocks) {
        return null;
      }
      fitsOneFromEachHost &=
          peakBlocks + otherHosts * requestForecast.peakBlocks(EMPTY_FORECAST, 0, 0) <= limitBlocks;
      peakMemoryShare = peakBlocks / report.blocksTotal();
    }
    if (!fitsOneFromEachHost
        && !timeSlots.ownsSlot(report.name(), nowMillis, options.turnMillis())) {
      return null;
    }
    double prefixConfidence =
        backend.prefixCacheConfidence(
            request.prefixHash(), nowMillis, options.prefixHalfLifeMillis());
    double batchSize = Math.max(1, report.maxBatch());
    double jitter = random.nextDouble() * 0.01;
    double cost =
        peakMemoryShare
            + openCount / batchSize
            - prefixConfidence * options.prefixBonusRequests() / batchSize
            + jitter;
    return new ScoredBackend(backend, cost, peakMemoryShare);
  }

  /** Returns how many requests the backend server may run now: fewer while it is in slow start. */
  private static int batchLimit(BackendReport report, ForecastOptions options, long nowMillis) {
    int limit = report.maxBatch() == 0 ? Integer.MAX_VALUE : report.maxBatch();
    // Compares by addition: the readiness time may be as low as Long.MIN_VALUE, for which the age
    // would overflow.
    if (report.loadedAtMillis() + options.rampMillis() <= nowMillis) {
      return limit;
    }
    double ageMillis = nowMillis - report.loadedAtMillis();
    double rampedShare = Math.max(0.1, ageMillis / options.rampMillis());
    return (int) Math.max(1, Math.min(limit, 1_000) * rampedShare);
  }
}
