package org.curranthaven.internal.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.catalog.RequestLimits;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.curranthaven.internal.dispatch.DispatchDecision;
import org.curranthaven.internal.dispatch.RequestId;
import org.curranthaven.internal.standin.EngineEvent;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.jspecify.annotations.Nullable;

/**
 * One day of an emulated deployment under one policy. Callers submit requests, come back once after
 * a rejection, and leave after a long silence; the policy's decisions are carried out as gateways
 * do. Not thread-safe.
 */
final class DispatchSimulation {
  static final String ENGINE_SERVICE = "engines";
  static final String PLAIN_SERVICE = "plain";

  private static final String GATEWAY = "gateway";

  /** Version of the software of all emulated backend servers. */
  private static final String SOFTWARE_VERSION = "v1";

  private static final long TICK_MILLIS = 50;
  private static final long PROGRESS_MILLIS = 500;

  /** Time after the last arrival for which the day goes on. */
  private static final long DRAIN_MILLIS = 40_000;

  /** Silence after which a caller leaves: this time or a multiple of its targets. */
  private static final long MIN_PATIENCE_MILLIS = 2_000;

  private static final int PATIENCE_TARGET_FACTOR = 4;
  private static final int PATIENCE_GAP_FACTOR = 8;

  private final Deployment deployment;
  private final Deployment.Day day;
  private final PolicyVariant variant;
  private final SplittableRandom random;
  private final EventQueue events = new EventQueue();
  private final Figures figures = new Figures();
  private final Map<Long, SimulatedRequest> openRequests = new LinkedHashMap<>();
  private final Map<String, EmulatedPlainServer> plainServers = new LinkedHashMap<>();
  private final EngineFleet fleet;
  private final RequestTransfers transfers;
  private final NoisePhases noise;
  private PlacementPolicy policy;
  private boolean hostsUp = true;
  private long nextPlacementId = 1;
  private long nextRequestNumber = 1;

  private DispatchSimulation(
      Deployment deployment, Deployment.Day day, PolicyVariant variant, long seed) {
    this.deployment = deployment;
    this.day = day;
    this.variant = variant;
    this.random = new SplittableRandom(seed * 31 + 7);
    this.fleet = new EngineFleet(deployment, events, random.split(), this::handleEngineEvent);
    this.transfers =
        new RequestTransfers(
            events, new TransferLinks(deployment.engines().transferMicrosPerToken()));
    this.policy = variant.create(random.split());
    this.noise = new NoisePhases(deployment.noise(), seed);
  }

  /** Plays the day; the same seed gives the same arrivals to every policy. */
  static Figures run(Deployment deployment, Deployment.Day day, PolicyVariant variant, long seed) {
    return new DispatchSimulation(deployment, day, variant, seed).run(seed);
  }

  private Figures run(long seed) {
    startServers();
    for (Arrival arrival : Arrival.draw(deployment, day, seed)) {
      events.scheduleAt(
          arrival.atMillis() * EventQueue.MICROS_PER_MILLI, () -> handleArrival(arrival));
    }
    day.faults().forEach(this::schedule);
    events.scheduleAfterMillis(TICK_MILLIS, this::tick);
    events.scheduleAfterMillis(PROGRESS_MILLIS, this::reportProgress);
    if (deployment.noise() != null) {
      applyNoise(deployment.noise().phaseMillis());
    }
    long endMillis = day.seconds() * 1_000L + DRAIN_MILLIS;
    events.runUntil(endMillis * EventQueue.MICROS_PER_MILLI);
    List.copyOf(openRequests.values()).forEach(request -> finish(request, Cause.ABANDONED));
    return figures;
  }

  private long nowMillis() {
    return events.nowMillis();
  }

  // ---- backend servers --------------------------------------------------------------------------

  private void startServers() {
    policy.setCatalog(catalog());
    for (int i = 0; i < deployment.plainServers().count(); i++) {
      String dataCentre = deployment.dataCentres().get(i % deployment.dataCentres().size());
      EmulatedPlainServer server =
          new EmulatedPlainServer(
              "plain-" + i,
              dataCentre,
              deployment.plainServers(),
              deployment.plainServers().slowdownOf(i),
              noise,
              events,
              random.split(),
              this::handlePlainEnd);
      plainServers.put(server.id(), server);
    }
    fleet.startAll();
    registerAll();
  }

  private void registerAll() {
    for (EmulatedPlainServer server : plainServers.values()) {
      policy.updateBackend(
          registration(
              server.id(), PLAIN_SERVICE, server.dataCentre(), deployment.plainServers().slots()),
          nowMillis());
    }
    fleet.ready().forEach(this::register);
  }

  private void register(EmulatedEngine engine) {
    if (hostsUp) {
      policy.updateBackend(
          registration(
              engine.id(), ENGINE_SERVICE, engine.dataCentre(), deployment.engines().slots()),
          nowMillis());
      applyDecisions();
    }
  }

  private static BackendRecord registration(
      String id, String service, String dataCentre, int slots) {
    return BackendRecord.newBuilder()
        .setId(id)
        .setService(service)
        .setSoftwareVersion(SOFTWARE_VERSION)
        .setDataCentre(dataCentre)
        .setSlots(slots)
        .setSequence(1)
        .build();
  }

  private Catalog catalog() {
    Deployment.Engines engines = deployment.engines();
    EngineCapabilities capabilities =
        new EngineCapabilities(
            engines.slots(), engines.memoryTokens(), engines.tokensPerEvent(), true, true);
    return new Catalog(
        1,
        List.of(),
        List.of(
            new ServiceSpec(ENGINE_SERVICE, 1_000, capabilities),
            new ServiceSpec(PLAIN_SERVICE, 1_000, null)),
        RequestLimits.standard(),
        null);
  }

  // ---- noise ------------------------------------------------------------------------------------

  /** Sets the slowness of the engines' machines at the beginning of each phase. */
  private void applyNoise(long phaseMillis) {
    fleet
        .ready()
        .forEach(engine -> engine.model().setSlowdown(noise.factor(engine.id(), nowMillis())));
    events.scheduleAfterMillis(phaseMillis, () -> applyNoise(phaseMillis));
  }

  /** Lets the policy know what a response of the backend server states. */
  private void stateSlowness(String server) {
    int percent = noise.statedPercent(server, nowMillis());
    if (percent > 0) {
      policy.slownessStated(server, percent, nowMillis());
    }
  }

  // ---- faults -----------------------------------------------------------------------------------

  private void schedule(Fault fault) {
    switch (fault) {
      case Fault.EnginesTaken taken -> {
        for (long at = taken.fromMillis(); at < taken.untilMillis(); at += taken.everyMillis()) {
          events.scheduleAfterMillis(at, () -> takeEngines(taken));
        }
      }
      case Fault.EngineCrash crash ->
          events.scheduleAfterMillis(crash.atMillis(), () -> crashEngines(crash));
      case Fault.EnginesSlow slow ->
          events.scheduleAfterMillis(slow.fromMillis(), () -> slowEngines(slow));
      case Fault.Burst ignored -> {
        // Part of the arrivals.
      }
      case Fault.HostsLost lost ->
          events.scheduleAfterMillis(lost.atMillis(), () -> loseHosts(lost.downMillis()));
    }
  }

  private void takeEngines(Fault.EnginesTaken taken) {
    for (EmulatedEngine engine : fleet.chooseReady(taken.engines())) {
      fleet.markLeaving(engine);
      if (hostsUp) {
        policy.removeBackend(engine.id(), nowMillis());
        applyDecisions();
      }
      long noticeMillis = taken.noticeMillis() + random.nextLong(taken.noticeSpreadMillis() + 1);
      events.scheduleAfterMillis(noticeMillis, () -> stopEngine(engine, 0));
      events.scheduleAfterMillis(
          taken.replacementMillis(), () -> register(fleet.startReplacement(engine)));
    }
  }

  private void crashEngines(Fault.EngineCrash crash) {
    for (EmulatedEngine engine : fleet.chooseReady(crash.engines())) {
      stopEngine(engine, crash.silent() ? RequestTransfers.SILENCE_DETECTION_MILLIS : 0);
      events.scheduleAfterMillis(
          crash.replacementMillis(), () -> register(fleet.startReplacement(engine)));
    }
  }

  private void slowEngines(Fault.EnginesSlow slow) {
    List<EmulatedEngine> engines = fleet.chooseReady(slow.engines());
    engines.forEach(engine -> engine.model().setSlowdown(slow.factor()));
    events.scheduleAfterMillis(
        slow.untilMillis() - slow.fromMillis(),
        () -> engines.forEach(engine -> engine.model().setSlowdown(1)));
  }

  private void stopEngine(EmulatedEngine engine, long detectionMillis) {
    fleet.stop(engine);
    events.scheduleAfterMillis(detectionMillis, () -> handleEngineLoss(engine));
  }

  private void handleEngineLoss(EmulatedEngine engine) {
    if (hostsUp) {
      policy.removeBackend(engine.id(), nowMillis());
    }
    engine.requests().forEach(request -> handleInterruption(request, engine));
    applyDecisions();
  }

  private void handleInterruption(SimulatedRequest request, EmulatedEngine lostEngine) {
    if (request.finished || request.engine != lostEngine) {
      return;
    }
    if (request.migrationTarget != null) {
      transfers.abandonMigration(request);
      policy.requestEnded(
          requestId(request), DispatchOutcome.DISPATCH_OUTCOME_MOVE_FAILED, 0, nowMillis());
    }
    EmulatedEngine next = variant.oracle() ? fleet.leastUsed() : transfers.usableBackup(request);
    if (next == null) {
      request.executions++;
      policy.requestEnded(
          requestId(request),
          DispatchOutcome.DISPATCH_OUTCOME_FAILED,
          request.outputTokens(),
          nowMillis());
      retryOrFinish(request, Cause.LOST_WITHOUT_COPY);
      return;
    }
    int presentTokens = variant.oracle() ? request.stateTokens() : transfers.copiedTokens(request);
    transfers.releaseBackup(request);
    resumeAt(request, next, presentTokens);
    policy.requestEnded(
        requestId(request),
        DispatchOutcome.DISPATCH_OUTCOME_MOVED,
        request.outputTokens(),
        nowMillis());
  }

  private void resumeAt(SimulatedRequest request, EmulatedEngine engine, int presentTokens) {
    request.engine = engine;
    request.migrations++;
    engine.run(request, presentTokens);
  }

  private void loseHosts(long downMillis) {
    hostsUp = false;
    for (SimulatedRequest request : List.copyOf(openRequests.values())) {
      if (request.engine != null) {
        request.engine.cancel(request);
      }
      finish(request, Cause.HOSTS_LOST);
    }
    events.scheduleAfterMillis(downMillis, this::restartHosts);
  }

  private void restartHosts() {
    hostsUp = true;
    policy = variant.create(random.split());
    policy.setCatalog(catalog());
    registerAll();
  }

  // ---- requests ---------------------------------------------------------------------------------

  private static RequestId requestId(SimulatedRequest request) {
    return new RequestId(GATEWAY, request.placementId);
  }

  private void handleArrival(Arrival arrival) {
    SimulatedRequest request = new SimulatedRequest(arrival, nextRequestNumber++);
    if (!hostsUp) {
      finish(request, Cause.HOSTS_LOST);
      return;
    }
    events.scheduleAfterMillis(
        arrival.kind().deadlineMillis(), () -> finish(request, Cause.ABANDONED));
    submit(request, nowMillis());
  }

  /**
   * Submits an attempt.
   *
   * @param attemptAtMillis when this attempt of the caller arrived; the gateway does not know of
   *     earlier ones
   */
  private void submit(SimulatedRequest request, long attemptAtMillis) {
    request.placementId = nextPlacementId++;
    request.attemptAtMillis = attemptAtMillis;
    openRequests.put(request.placementId, request);
    Deployment.RequestKind kind = request.arrival().kind();
    int hint = request.arrival().hintedOutputTokens();
    PlacementRequest.Builder placement =
        PlacementRequest.newBuilder()
            .setId(request.placementId)
            .setService(kind.engine() ? ENGINE_SERVICE : PLAIN_SERVICE)
            .setRoute(kind.name())
            .setPriority(kind.priority())
            .setTargetLeftMillis(attemptAtMillis + kind.targetMillis() - nowMillis())
            .setDeadlineLeftMillis(
                request.arrival().atMillis() + kind.deadlineMillis() - nowMillis())
            .addAllExcluded(request.excluded())
            .setRepeat(request.received)
            .setDataCentre(request.arrival().dataCentre())
            .setEngine(kind.engine())
            .setGapTargetMillis(Math.toIntExact(kind.gapTargetMillis()))
            .setIrreplaceable(kind.engine() && !kind.repeatable());
    if (kind.engine()) {
      placement
          .setPromptTokens(request.arrival().promptTokens())
          .setMaxOutputTokens((int) kind.output().max())
          .setHintedOutputTokens(variant.oracle() ? request.arrival().outputTokens() : hint);
    }
    policy.submit(requestId(request), placement.build(), nowMillis());
    applyDecisions();
  }

  private void applyDecisions() {
    List<DispatchDecision> decisions = new ArrayList<>(policy.drainDecisions());
    for (DispatchDecision decision : decisions) {
      SimulatedRequest request = openRequests.get(decision.requestId().id());
      if (request == null) {
        continue;
      }
      switch (decision) {
        case DispatchDecision.Place place ->
            events.scheduleAfterMillis(deployment.placementMillis(), () -> start(request, place));
        case DispatchDecision.Reject reject -> handleRejection(request, reject.retryAfterMillis());
        case DispatchDecision.Migrate migrate -> migrate(request, migrate);
        // No emulated prompt crashes engines.
        case DispatchDecision.Stop ignored -> {}
      }
    }
  }

  private void start(SimulatedRequest request, DispatchDecision.Place place) {
    if (request.finished || request.placementId != place.requestId().id()) {
      return;
    }
    EmulatedPlainServer server = plainServers.get(place.backend());
    EmulatedEngine engine = fleet.alive(place.backend());
    if (request.firstPlacedAtMillis < 0) {
      request.firstPlacedAtMillis = nowMillis();
    }
    if (server != null) {
      request.received = true;
      request.excluded().add(server.id());
      server.run(request);
    } else if (engine != null) {
      request.received = true;
      request.urgency = place.urgency();
      request.engine = engine;
      request.backup = fleet.alive(place.backup());
      engine.run(request, 0);
    } else {
      request.excluded().add(place.backend());
      endAttempt(request, DispatchOutcome.DISPATCH_OUTCOME_UNREACHABLE);
      submit(request, request.attemptAtMillis);
    }
  }

  private void endAttempt(SimulatedRequest request, DispatchOutcome outcome) {
    openRequests.remove(request.placementId);
    policy.requestEnded(requestId(request), outcome, request.outputTokens(), nowMillis());
  }

  private void handleRejection(SimulatedRequest request, long retryAfterMillis) {
    openRequests.remove(request.placementId);
    long deadlineAtMillis =
        request.arrival().atMillis() + request.arrival().kind().deadlineMillis();
    long leftMillis = deadlineAtMillis - nowMillis();
    if (request.returns >= request.arrival().kind().retries() || request.executions > 0) {
      finish(request, request.executions > 0 ? Cause.BACKEND_FAILED : Cause.REJECTED);
      return;
    }
    request.returns++;
    events.scheduleAfterMillis(
        Math.min(retryAfterMillis, leftMillis / 3),
        () -> {
          if (!request.finished && hostsUp) {
            request.received = false;
            submit(request, nowMillis());
          } else {
            finish(request, Cause.HOSTS_LOST);
          }
        });
  }

  private void handlePlainEnd(
      EmulatedPlainServer server, SimulatedRequest request, boolean succeeded) {
    stateSlowness(server.id());
    if (request.finished) {
      return;
    }
    request.executions++;
    endAttempt(
        request,
        succeeded
            ? DispatchOutcome.DISPATCH_OUTCOME_ANSWERED
            : DispatchOutcome.DISPATCH_OUTCOME_FAILED);
    if (succeeded) {
      request.recordEvent(nowMillis());
      finishAnswered(request);
    } else {
      retryOrFinish(request, Cause.BACKEND_FAILED);
    }
    applyDecisions();
  }

  private void retryOrFinish(SimulatedRequest request, Cause cause) {
    openRequests.remove(request.placementId);
    Deployment.RequestKind kind = request.arrival().kind();
    if (kind.repeatable() && request.executions < kind.attempts() && hostsUp) {
      submit(request, request.attemptAtMillis);
    } else {
      finish(request, cause);
    }
  }

  // ---- streams ----------------------------------------------------------------------------------

  private void handleEngineEvent(EmulatedEngine engine, EngineEvent event) {
    SimulatedRequest request = engine.request(event.generation());
    if (request == null || request.finished || request.engine != engine) {
      return;
    }
    switch (event) {
      case EngineEvent.Preempted ignored -> figures.recordPreemption();
      case EngineEvent.Token token -> handleToken(request, engine, token);
    }
  }

  private void handleToken(
      SimulatedRequest request, EmulatedEngine engine, EngineEvent.Token token) {
    int tokens = token.index() + 1;
    request.setOutputTokens(tokens);
    if (!token.last() && tokens % deployment.engines().tokensPerEvent() != 0) {
      return;
    }
    boolean first = request.firstReplyAtMillis < 0;
    request.recordEvent(nowMillis());
    if (first) {
      stateSlowness(engine.id());
    }
    if (token.last()) {
      engine.forget(request);
      transfers.abandonMigration(request);
      transfers.releaseBackup(request);
      endAttempt(request, DispatchOutcome.DISPATCH_OUTCOME_ANSWERED);
      finishAnswered(request);
    } else if (first) {
      transfers.startBackup(request);
      policy.outputProgressed(requestId(request), tokens, nowMillis());
    }
    applyDecisions();
  }

  private void migrate(SimulatedRequest request, DispatchDecision.Migrate migrate) {
    EmulatedEngine target = fleet.alive(migrate.target());
    EmulatedEngine newBackup = fleet.alive(migrate.backup());
    boolean started =
        target != null
            && transfers.startMigration(
                request, target, () -> completeMigration(request, target, newBackup));
    if (!started) {
      policy.requestEnded(
          requestId(request), DispatchOutcome.DISPATCH_OUTCOME_MOVE_FAILED, 0, nowMillis());
    }
  }

  private void completeMigration(
      SimulatedRequest request, EmulatedEngine target, @Nullable EmulatedEngine newBackup) {
    transfers.releaseBackup(request);
    resumeAt(request, target, request.stateTokens());
    request.backup = newBackup;
    transfers.startBackup(request);
    policy.requestEnded(
        requestId(request),
        DispatchOutcome.DISPATCH_OUTCOME_MOVED,
        request.outputTokens(),
        nowMillis());
    applyDecisions();
  }

  // ---- periodic work ----------------------------------------------------------------------------

  private void tick() {
    if (hostsUp) {
      policy.tick(nowMillis());
      applyDecisions();
    }
    events.scheduleAfterMillis(TICK_MILLIS, this::tick);
  }

  private void reportProgress() {
    for (SimulatedRequest request : List.copyOf(openRequests.values())) {
      if (request.engine != null && request.outputTokens() > 0) {
        transfers.growBackup(request);
        policy.outputProgressed(requestId(request), request.outputTokens(), nowMillis());
      }
      if (isImpatient(request)) {
        leave(request);
      }
    }
    applyDecisions();
    events.scheduleAfterMillis(PROGRESS_MILLIS, this::reportProgress);
  }

  private boolean isImpatient(SimulatedRequest request) {
    Deployment.RequestKind kind = request.arrival().kind();
    if (kind.gapTargetMillis() == 0) {
      return false;
    }
    long patienceMillis =
        Math.max(
            MIN_PATIENCE_MILLIS,
            Math.max(
                PATIENCE_TARGET_FACTOR * kind.targetMillis(),
                PATIENCE_GAP_FACTOR * kind.gapTargetMillis()));
    long lastMillis =
        request.firstReplyAtMillis < 0 ? request.attemptAtMillis : request.lastEventAtMillis;
    return nowMillis() - lastMillis > patienceMillis;
  }

  /** Handles a caller that closes its connection. */
  private void leave(SimulatedRequest request) {
    endAttempt(request, DispatchOutcome.DISPATCH_OUTCOME_CANCELLED);
    finish(request, Cause.ABANDONED);
  }

  // ---- ends -------------------------------------------------------------------------------------

  private void finishAnswered(SimulatedRequest request) {
    if (request.firstReplyIsLate()) {
      long queuedMillis = request.firstPlacedAtMillis - request.arrival().atMillis();
      long replyMillis = request.firstReplyAtMillis - request.arrival().atMillis();
      finish(request, 2 * queuedMillis > replyMillis ? Cause.LATE_BY_QUEUE : Cause.LATE_BY_PROMPTS);
    } else if (request.pauseIsTooLong()) {
      finish(request, request.migrations > 0 ? Cause.LATE_BY_MIGRATION : Cause.LATE_BY_PAUSE);
    } else {
      finish(request, Cause.IN_TIME);
    }
  }

  private void finish(SimulatedRequest request, Cause cause) {
    if (request.finished) {
      return;
    }
    request.finished = true;
    if (openRequests.remove(request.placementId) != null && hostsUp) {
      policy.requestEnded(
          requestId(request),
          DispatchOutcome.DISPATCH_OUTCOME_CANCELLED,
          request.outputTokens(),
          nowMillis());
    }
    if (request.engine != null) {
      request.engine.cancel(request);
    }
    transfers.abandonMigration(request);
    transfers.releaseBackup(request);
    double earned =
        switch (cause) {
          case IN_TIME -> request.arrival().worth();
          case LATE_BY_QUEUE, LATE_BY_PROMPTS, LATE_BY_MIGRATION, LATE_BY_PAUSE ->
              request.arrival().lateWorth();
          default -> 0;
        };
    figures.record(request.arrival(), cause, earned);
  }
}
