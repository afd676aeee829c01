package org.curranthaven.internal.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongUnaryOperator;
import java.util.function.Predicate;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.catalog.Repeatability;
import org.curranthaven.internal.catalog.RequestLimits;
import org.curranthaven.internal.catalog.Route;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.curranthaven.internal.catalog.ServiceWeight;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.PlacementRequest;

/**
 * Clients and engines around a {@link DispatchCore}, on given time. An engine processes prompts one
 * after the other and outputs of all its requests at one speed; it holds memory until the end.
 */
final class CompetingLoad {
  static final int ENGINES = 42;
  static final int MEMORY_TOKENS = 27_064;
  static final double CAPACITY_TOKENS = (double) ENGINES * MEMORY_TOKENS;
  private static final double PROMPT_TOKENS_PER_MILLI = 14;
  private static final double MILLIS_PER_OUTPUT_TOKEN = 13.3;
  private static final long TICK_MILLIS = 50;
  private static final long PROGRESS_MILLIS = 500;
  private static final long AT_ONCE_MILLIS = 10;
  private static final long PAUSE_STEP_MILLIS = 10;

  /** Requests that are alike. */
  record Kind(int priority, int promptTokens, int outputTokens, long targetMillis) {
    static final Kind SHORT = new Kind(0, 2_200, 13, 1_500);
    static final Kind LONG = new Kind(2, 3_000, 750, 4_000);

    double heldMillis() {
      return promptTokens / PROMPT_TOKENS_PER_MILLI + outputTokens * MILLIS_PER_OUTPUT_TOKEN;
    }

    /** Returns the requests a second that fill a share of the memory. */
    double perSecondFilling(double share) {
      double tokens = RunningRequest.memoryTokens(promptTokens, outputTokens);
      return 1_000 * share * CAPACITY_TOKENS / (tokens * heldMillis());
    }
  }

  /** What a client does when it is rejected. */
  enum Manner {
    GIVES_UP,
    REPEATS_AT_ONCE,
    COMES_BACK
  }

  /** One request and what its client got. */
  static final class Client {
    final Kind kind;
    final String workspace;
    final Manner manner;
    final long arrivedAtMillis;
    final long fingerprint;
    int attempts;
    boolean cameBack;
    boolean servedAfterReturn;
    boolean served;
    boolean late;

    Client(Kind kind, String workspace, Manner manner, long arrivedAtMillis, long fingerprint) {
      this.kind = kind;
      this.workspace = workspace;
      this.manner = manner;
      this.arrivedAtMillis = arrivedAtMillis;
      this.fingerprint = fingerprint;
    }
  }

  private record Event(long atMillis, long number, Runnable action) {}

  private static final class Attempt {
    final Client client;
    final long submittedAtMillis;
    boolean ended;

    Attempt(Client client, long submittedAtMillis) {
      this.client = client;
      this.submittedAtMillis = submittedAtMillis;
    }
  }

  final DispatchCore core;
  final List<Client> clients = new ArrayList<>();
  private final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
  private final Map<RequestId, Attempt> attempts = new HashMap<>();
  private final Map<String, Long> promptsDoneAtMillis = new HashMap<>();
  private final Map<RequestId, String> placedOn = new HashMap<>();
  private long nowMillis;
  private long nextNumber = 1;

  CompetingLoad(DispatchFeatures features, int seed) {
    random = new SplittableRandom(seed);
    core =
        new DispatchCore(
            new RetryLimits(0.2, 10, 10_000),
            1,
            random.split(),
            Set.of(),
            SharedKnowledge.ofScheduler(),
            features);
    core.setCatalog(catalog());
    for (int i = 0; i < ENGINES; i++) {
      core.updateBackend(
          BackendRecord.newBuilder()
              .setId("engine-" + i)
              .setService("engines")
              .setAddress("10.0.0.1:80")
              .setDataCentre("a")
              .setSlots(24)
              .setSequence(1)
              .build(),
          0);
    }
  }

  private static Catalog catalog() {
    Route route =
        new Route(
            "drafts",
            "stories.example",
            "/drafts/",
            Repeatability.STREAM,
            30_000,
            1_500,
            180,
            1,
            1,
            false,
            false,
            List.of(new ServiceWeight("engines", 1)));
    EngineCapabilities engine = new EngineCapabilities(24, MEMORY_TOKENS, 4, true, true);
    return new Catalog(
        1,
        List.of(route),
        List.of(new ServiceSpec("engines", 100, engine)),
        RequestLimits.standard(),
        null);
  }

  private void at(long atMillis, Runnable action) {
    events.add(new Event(atMillis, nextNumber++, action));
  }

  /** Adds arrivals of a kind at random times, at a rate that may change with the time. */
  void addArrivals(
      Kind kind,
      String workspace,
      Map<Manner, Double> manners,
      long endMillis,
      LongToRate perSecond) {
    double atMillis = 0;
    while (atMillis < endMillis) {
      double rate = perSecond.at((long) atMillis);
      if (rate <= 0) {
        atMillis += PAUSE_STEP_MILLIS;
        continue;
      }
      atMillis += -Math.log(1 - random.nextDouble()) * 1_000 / rate;
      Client client =
          new Client(kind, workspace, manner(manners), (long) atMillis, random.nextLong() | 1);
      at((long) atMillis, () -> arrive(client));
    }
  }

  /** Requests a second at a time. */
  interface LongToRate {
    double at(long millis);
  }

  private Manner manner(Map<Manner, Double> manners) {
    double drawn = random.nextDouble();
    for (Map.Entry<Manner, Double> entry : manners.entrySet()) {
      drawn -= entry.getValue();
      if (drawn < 0) {
        return entry.getKey();
      }
    }
    return Manner.GIVES_UP;
  }

  private void arrive(Client client) {
    clients.add(client);
    submit(client);
  }

  private void submit(Client client) {
    client.attempts++;
    RequestId id = new RequestId("gateway", nextNumber++);
    attempts.put(id, new Attempt(client, nowMillis));
    PlacementRequest request =
        PlacementRequest.newBuilder()
            .setId(id.id())
            .setService("engines")
            .setRoute("priority-" + client.kind.priority())
            .setWorkspace(client.workspace)
            .setPriority(client.kind.priority())
            .setPromptTokens(client.kind.promptTokens())
            .setMaxOutputTokens(2 * client.kind.outputTokens())
            .setTargetLeftMillis(client.kind.targetMillis())
            .setDeadlineLeftMillis(30_000)
            .setDataCentre("a")
            .setEngine(true)
            .setFingerprint(client.fingerprint)
            .build();
    core.submit(id, request, nowMillis);
  }

  /** Takes an engine out of use; what runs on it ends without a reply. */
  void loseEngine(String engine, long atMillis) {
    at(
        atMillis,
        () -> {
          core.backendCrashed(engine, nowMillis);
          List<RequestId> lost =
              placedOn.entrySet().stream()
                  .filter(entry -> entry.getValue().equals(engine))
                  .map(Map.Entry::getKey)
                  .toList();
          lost.forEach(id -> end(id, DispatchOutcome.DISPATCH_OUTCOME_CONNECTION_LOST, 0));
        });
  }

  void run(long endMillis) {
    for (long tick = TICK_MILLIS; tick < endMillis; tick += TICK_MILLIS) {
      at(tick, () -> core.tick(nowMillis));
    }
    while (!events.isEmpty() && events.peek().atMillis() < endMillis) {
      Event event = events.remove();
      nowMillis = event.atMillis();
      event.action().run();
      core.drainDecisions().forEach(this::carryOut);
    }
  }

  private void carryOut(DispatchDecision decision) {
    Attempt attempt = attempts.get(decision.requestId());
    if (attempt == null) {
      return;
    }
    switch (decision) {
      case DispatchDecision.Place place -> start(place, attempt);
      case DispatchDecision.Reject reject -> reject(reject, attempt.client);
      default -> {}
    }
  }

  private void start(DispatchDecision.Place place, Attempt attempt) {
    Kind kind = attempt.client.kind;
    long startMillis = Math.max(nowMillis, promptsDoneAtMillis.getOrDefault(place.backend(), 0L));
    long firstMillis = startMillis + (long) (kind.promptTokens() / PROMPT_TOKENS_PER_MILLI);
    promptsDoneAtMillis.put(place.backend(), firstMillis);
    placedOn.put(place.requestId(), place.backend());
    at(firstMillis, () -> reply(place.requestId(), attempt));
    LongUnaryOperator outputAt =
        millis -> 4 + (long) ((millis - firstMillis) / MILLIS_PER_OUTPUT_TOKEN);
    long endMillis = firstMillis + (long) (kind.outputTokens() * MILLIS_PER_OUTPUT_TOKEN);
    for (long at = firstMillis + PROGRESS_MILLIS; at < endMillis; at += PROGRESS_MILLIS) {
      int tokens = (int) outputAt.applyAsLong(at);
      at(at, () -> progress(place.requestId(), attempt, tokens));
    }
    at(
        endMillis,
        () ->
            end(place.requestId(), DispatchOutcome.DISPATCH_OUTCOME_ANSWERED, kind.outputTokens()));
  }

  private void reply(RequestId id, Attempt attempt) {
    Client client = attempt.client;
    if (attempt.ended) {
      return;
    }
    boolean inTime = nowMillis - attempt.submittedAtMillis <= client.kind.targetMillis();
    client.served = inTime;
    client.late = !inTime;
    client.servedAfterReturn = inTime && client.cameBack;
    progress(id, attempt, 4);
  }

  private void progress(RequestId id, Attempt attempt, int tokens) {
    if (!attempt.ended) {
      core.outputProgressed(id, tokens, nowMillis);
    }
  }

  private void end(RequestId id, DispatchOutcome outcome, int tokens) {
    Attempt attempt = attempts.remove(id);
    placedOn.remove(id);
    if (attempt != null) {
      attempt.ended = true;
      core.requestEnded(id, outcome, tokens, nowMillis);
    }
  }

  private void reject(DispatchDecision.Reject reject, Client client) {
    attempts.remove(reject.requestId());
    switch (client.manner) {
      case GIVES_UP -> {}
      case REPEATS_AT_ONCE -> {
        if (client.attempts <= 3) {
          at(nowMillis + AT_ONCE_MILLIS, () -> submit(client));
        }
      }
      case COMES_BACK -> {
        if (client.attempts <= 1) {
          at(
              nowMillis + reject.retryAfterMillis(),
              () -> {
                client.cameBack = true;
                submit(client);
              });
        }
      }
    }
  }

  // ---- results ----------------------------------------------------------------------------------

  /** Returns the share of the clients that were served, of those that match. */
  double servedShare(Predicate<Client> matching) {
    return share(matching, client -> client.served);
  }

  /** Returns the share that was served of the clients that came back as told. */
  double servedShareOfReturned(Predicate<Client> matching) {
    return share(matching.and(client -> client.cameBack), client -> client.servedAfterReturn);
  }

  private double share(Predicate<Client> matching, Predicate<Client> counted) {
    return clients.stream()
        .filter(matching)
        .mapToDouble(client -> counted.test(client) ? 1 : 0)
        .average()
        .orElse(1);
  }

  /** Returns the memory that served clients held, times the time for which they held it. */
  double goodputTokenMillis(Predicate<Client> matching) {
    return clients.stream()
        .filter(matching)
        .filter(client -> client.served)
        .mapToDouble(
            client ->
                client.kind.heldMillis()
                    * RunningRequest.memoryTokens(
                        client.kind.promptTokens(), client.kind.outputTokens()))
        .sum();
  }

  static Predicate<Client> arrived(long fromMillis, long toMillis) {
    return client -> client.arrivedAtMillis >= fromMillis && client.arrivedAtMillis < toMillis;
  }

  static Predicate<Client> ofKind(Kind kind) {
    return client -> client.kind.equals(kind);
  }
}
