package org.curranthaven.internal.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/** Chooses a server for a request by a {@link Policy}. Not thread-safe. */
final class BackendChooser {
  private static final MemoryForecast EMPTY_FORECAST = new MemoryForecast();

  private final Policy policy;
  private final RandomGenerator random;
  private final HostTimeSlots timeSlots;
  private int nextRoundRobinIndex;

  BackendChooser(Policy policy, RandomGenerator random, HostTimeSlots turns) {
    this.policy = policy;
    this.timeSlots = turns;
    this.random = random;
  }

  /**
   * A request with what the choice needs beside it.
   *
   * @param outputLengths distribution of its output length
   * @param headroomBlocks memory to leave free on each server for tighter classes
   */
  record ChoiceInput(
      RequestAttributes request, OutputLengths outputLengths, double headroomBlocks) {}

  /**
   * A chosen server.
   *
   * @param admissibleCount number of servers that could have been chosen
   * @param peakMemoryShare forecast peak of its memory
   */
  record Choice(BackendServerState backend, int admissibleCount, double peakMemoryShare) {}

  /** Returns the choice among {@code servers}, or null to hold the request. */
  @Nullable Choice choose(ChoiceInput candidate, List<BackendServerState> servers, long nowMillis) {
    if (servers.isEmpty()) {
      return null;
    }
    return switch (policy) {
      case Policy.RoundRobin ignored ->
          baselineChoice(servers.get(nextRoundRobinIndex++ % servers.size()), servers);
      case Policy.LeastOutstanding ignored ->
          baselineChoice(
              Collections.min(servers, Comparator.comparingInt(BackendServerState::ownOpenCount)),
              servers);
      case Policy.LeastLoad ignored ->
          baselineChoice(Collections.min(servers, BY_REPORTED_LOAD), servers);
      case Policy.PowerOfTwo ignored -> baselineChoice(lessLoadedOfTwo(servers), servers);
      case Policy.Forecast forecast ->
          chooseByForecast(candidate, servers, forecast.options(), nowMillis);
    };
  }

  private static final Comparator<BackendServerState> BY_REPORTED_LOAD =
      Comparator.<BackendServerState>comparingDouble(
              server ->
                  (double) server.report().blocksUsed()
                      / Math.max(1, server.report().blocksTotal()))
          .thenComparingInt(server -> server.report().running() + server.report().waiting());

  private static Choice baselineChoice(
      BackendServerState server, List<BackendServerState> servers) {
    return new Choice(server, servers.size(), 0);
  }

  private BackendServerState lessLoadedOfTwo(List<BackendServerState> servers) {
    BackendServerState first = servers.get(random.nextInt(servers.size()));
    BackendServerState second = servers.get(random.nextInt(servers.size()));
    return BY_REPORTED_LOAD.compare(first, second) <= 0 ? first : second;
  }

  private @Nullable Choice chooseByForecast(
      ChoiceInput candidate,
      List<BackendServerState> servers,
      ForecastOptions options,
      long nowMillis) {
    MemoryForecast added = new MemoryForecast();
    RequestAttributes request = candidate.request();
    added.add(candidate.outputLengths(), request.promptTokens(), 0, request.maxOutputTokens());
    List<ScoredBackend> admissible = new ArrayList<>();
    for (BackendServerState server : servers) {
      ScoredBackend scored = score(candidate, added, server, options, nowMillis);
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

  private List<ScoredBackend> sample(List<ScoredBackend> admissible, ForecastOptions options) {
    int wanted = options.sampledServers();
    if (wanted <= 0 || admissible.size() <= wanted) {
      return admissible;
    }
    List<ScoredBackend> drawn = new ArrayList<>(wanted);
    for (int i = 0; i < wanted; i++) {
      int j = random.nextInt(i, admissible.size());
      Collections.swap(admissible, i, j);
      drawn.add(admissible.get(i));
    }
    return drawn;
  }

  private record ScoredBackend(BackendServerState backend, double cost, double peakMemoryShare) {}

  private @Nullable ScoredBackend score(
      ChoiceInput candidate,
      MemoryForecast added,
      BackendServerState server,
      ForecastOptions options,
      long nowMillis) {
    RequestAttributes request = candidate.request();
    BackendReport report = server.report();
    int running = server.totalOpenCount();
    int batchLimit = batchLimit(report, options, nowMillis);
    if (running >= batchLimit) {
      return null;
    }
    int others = timeSlots.count() - 1;
    boolean roomForAll = running + others < batchLimit;
    double peakShare = 0;
    if (report.blocksTotal() > 0) {
      double limit = options.memoryShare() * report.blocksTotal() - candidate.headroomBlocks();
      if (running > 0 && server.currentBlocks() + added.currentBlocks() > limit) {
        return null;
      }
      double peak =
          server.forecast().peakBlocks(added, options.deviations(), server.unattributedBlocks());
      if (running > 0 && peak > limit) {
        return null;
      }
      roomForAll &= peak + others * added.peakBlocks(EMPTY_FORECAST, 0, 0) <= limit;
      peakShare = peak / report.blocksTotal();
    }
    if (!roomForAll && !timeSlots.ownsSlot(report.name(), nowMillis, options.turnMillis())) {
      return null;
    }
    double trust =
        server.prefixCacheConfidence(
            request.prefixHash(), nowMillis, options.prefixHalfLifeMillis());
    double batch = Math.max(1, report.maxBatch());
    double jitter = random.nextDouble() * 0.01;
    double cost =
        peakShare + running / batch - trust * options.prefixBonusRequests() / batch + jitter;
    return new ScoredBackend(server, cost, peakShare);
  }

  private static int batchLimit(BackendReport report, ForecastOptions options, long nowMillis) {
    int limit = report.maxBatch() == 0 ? Integer.MAX_VALUE : report.maxBatch();
    // No difference to a server that has been ready for ever may overflow.
    if (report.loadedAtMillis() + options.rampMillis() <= nowMillis) {
      return limit;
    }
    double age = nowMillis - report.loadedAtMillis();
    double share = Math.max(0.1, age / options.rampMillis());
    return (int) Math.max(1, Math.min(limit, 1_000) * share);
  }
}
