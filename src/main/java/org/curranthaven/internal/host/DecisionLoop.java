package org.curranthaven.internal.host;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.curranthaven.api.Configuration;
import org.curranthaven.api.Failure;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.ResultCode;
import org.curranthaven.api.Workspace;
import org.curranthaven.internal.configuration.Deltas;
import org.curranthaven.internal.configuration.FreshnessCore;
import org.curranthaven.internal.gateway.Assignment;
import org.curranthaven.internal.gateway.RequestIdSequence;
import org.curranthaven.internal.gateway.RetryBudget;
import org.curranthaven.internal.gateway.Router;
import org.curranthaven.internal.membership.BackendAnnouncement;
import org.curranthaven.internal.membership.BackendView;
import org.curranthaven.internal.observe.ExplainLog;
import org.curranthaven.internal.observe.RoutingRecorder;
import org.curranthaven.internal.routing.RequestAttributes;
import org.curranthaven.internal.routing.RoutingCore;
import org.curranthaven.internal.routing.RoutingDecision;
import org.curranthaven.internal.routing.RoutingEvent;
import org.curranthaven.internal.routing.ShareUpdate;
import org.curranthaven.internal.routing.WorkspaceLimiter;
import org.curranthaven.internal.supervision.Child;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.wire.ConfigurationDelta;
import org.jspecify.annotations.Nullable;

/**
 * Event loop that owns a host's freshness leases, its view of the backend servers and its routing.
 * State is confined to the decision thread; all public methods are thread-safe.
 */
public final class DecisionLoop implements Child, Router {
  private static final long TICK_INTERVAL_MILLIS = 20;
  private static final int MAX_TASKS_PER_BATCH = 4_096;
  private static final long EVICTION_INTERVAL_MILLIS = 60_000;

  private final Clock clock;
  private final Supplier<RoutingCore> routingFactory;
  private final @Nullable RoutingRecorder recorder;
  private final ExplainLog explainLog;
  private final LivePeers livePeers;
  private final LinkedBlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
  private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
  private final Set<String> routableBackends = new HashSet<>();
  private final Map<String, Long> readySinceMillis = new HashMap<>();
  private final Set<String> directlyAnnounced = new HashSet<>();
  private final FreshnessCore freshness = new FreshnessCore();
  private final BackendView backends = new BackendView();
  private final RetryBudget retryBudget;
  private final WorkspaceLimiter limiter = new WorkspaceLimiter();
  private final RequestIdSequence requestIds = new RequestIdSequence();
  private final Map<String, BackendAnnouncement> aliveBackends = new ConcurrentHashMap<>();
  private RoutingCore routing;
  private volatile Configuration configuration = Configuration.empty();
  private volatile long servesUntilMillis = Long.MIN_VALUE;
  private long nextTickMillis;
  private long nextEvictionMillis;

  private record PendingRequest(
      RequestAttributes request, String name, CompletableFuture<Outcome<Assignment>> future) {}

  /** Reports which hosts' processes are alive. */
  public interface LivePeers {
    /** Returns whether the host is alive in the given incarnation. */
    boolean isAlive(String host, long incarnation);

    /** Returns the number of other hosts that are connected. */
    int count();
  }

  /**
   * Creates the loop.
   *
   * @param routingFactory creates the routing core, at the start and after each restart of the loop
   * @param recorder records the events of the routing core; null for none
   */
  public DecisionLoop(
      Clock clock,
      RandomGenerator random,
      Supplier<RoutingCore> routingFactory,
      @Nullable RoutingRecorder recorder,
      ExplainLog explainLog,
      LivePeers livePeers) {
    this.clock = clock;
    this.routingFactory = routingFactory;
    this.recorder = recorder;
    this.explainLog = explainLog;
    this.livePeers = livePeers;
    this.retryBudget = new RetryBudget(random);
    this.routing = routingFactory.get();
  }

  @Override
  public void run() throws InterruptedException {
    reset();
    while (true) {
      long timeoutMillis = Math.max(0, nextTickMillis - clock.nowMillis());
      Runnable task = tasks.poll(timeoutMillis, TimeUnit.MILLISECONDS);
      for (int i = 0; task != null && i < MAX_TASKS_PER_BATCH; i++) {
        task.run();
        task = i + 1 < MAX_TASKS_PER_BATCH ? tasks.poll() : null;
      }
      long nowMillis = clock.nowMillis();
      if (nowMillis >= nextTickMillis) {
        nextTickMillis = nowMillis + TICK_INTERVAL_MILLIS;
        tick(nowMillis);
      }
    }
  }

  /** Discards the routing state and fails the requests that were queued in it. */
  private void reset() {
    routing = routingFactory.get();
    routableBackends.clear();
    readySinceMillis.clear();
    List<PendingRequest> discarded = List.copyOf(pendingRequests.values());
    pendingRequests.clear();
    Failure failure =
        Failure.retryLater(
            ResultCode.NO_BACKEND,
            "the request queue was lost when the host's routing restarted",
            1);
    discarded.forEach(request -> request.future().complete(Outcome.failed(failure)));
  }

  /** Runs an action on the decision thread. */
  public void execute(Runnable action) {
    tasks.add(action);
  }

  // ---- configuration ----------------------------------------------------------------------------

  /** Activates a configuration if it is newer than the active one. */
  public void activate(Configuration newer) {
    execute(
        () -> {
          if (freshness.activate(newer.revision())) {
            configuration = newer;
            publishFreshness();
          }
        });
  }

  /** Applies deltas to the active configuration and activates the result. */
  public void activateDeltas(List<ConfigurationDelta> deltas) {
    execute(
        () -> {
          Configuration newer = Deltas.apply(configuration, deltas);
          if (freshness.activate(newer.revision())) {
            configuration = newer;
            publishFreshness();
          }
        });
  }

  /** Records a freshness lease granted by the leader of group 0. */
  public void grantedByLeader(long revision, long sentAtMillis) {
    execute(
        () -> {
          freshness.grantedByLeader(revision, sentAtMillis);
          publishFreshness();
        });
  }

  /** Handles a voter's reply to a freshness request: a lease if {@code granted}. */
  public void voterReplied(
      String identity,
      long revision,
      boolean granted,
      long setVersion,
      int setSize,
      long sentAtMillis) {
    execute(
        () -> {
          if (granted) {
            freshness.grantedByVoter(identity, revision, setVersion, setSize, sentAtMillis);
          } else {
            freshness.deniedByVoter(identity);
          }
          publishFreshness();
        });
  }

  private void publishFreshness() {
    servesUntilMillis = freshness.servesUntilMillis(clock.nowMillis());
  }

  @Override
  public Configuration configuration() {
    return configuration;
  }

  @Override
  public boolean mayServe() {
    return clock.nowMillis() < servesUntilMillis;
  }

  // ---- backend servers --------------------------------------------------------------------------

  /**
   * Handles an announcement of a backend server.
   *
   * @param ageMillis time since the backend server sent it, in milliseconds
   * @param direct whether it came from the backend server itself, not through another host
   */
  public void backendAnnounced(BackendAnnouncement announcement, long ageMillis, boolean direct) {
    execute(
        () -> {
          long nowMillis = clock.nowMillis();
          if (!backends.update(announcement, ageMillis, nowMillis)) {
            return;
          }
          if (direct) {
            directlyAnnounced.add(announcement.name());
          }
          aliveBackends.put(announcement.name(), announcement);
          updateRouting(announcement.name(), nowMillis);
        });
  }

  /** Handles an addition to or an eviction from an engine's prefix cache. */
  public void prefixCached(String server, long prefixHash, boolean present) {
    execute(() -> handle(new RoutingEvent.PrefixCached(server, prefixHash, present)));
  }

  /** Handles another host's update of its open requests. */
  public void sharesReported(String host, ShareUpdate update) {
    execute(() -> handle(new RoutingEvent.SharesReported(host, update)));
  }

  /** Handles the loss of the connection to another host. */
  public void hostDisconnected(String host) {
    execute(() -> handle(new RoutingEvent.HostRemoved(host)));
  }

  /**
   * Update that this host sends to the other hosts.
   *
   * @param announcements announcements that backend servers sent to this host
   * @param shares update of this host's open requests
   */
  public record Outgoing(List<BackendView.AgedAnnouncement> announcements, ShareUpdate shares) {
    /** Returns whether there is nothing to send. */
    public boolean isEmpty() {
      return announcements.isEmpty() && shares.shares().isEmpty() && !shares.full();
    }
  }

  /**
   * Removes and returns the announcements received directly since the last call, with the next
   * update of the open requests.
   */
  public CompletableFuture<Outgoing> drainOutgoing() {
    return submit(
        () -> {
          List<BackendView.AgedAnnouncement> aged =
              backends.agedAnnouncements(directlyAnnounced, clock.nowMillis());
          directlyAnnounced.clear();
          return new Outgoing(aged, routing.nextShareUpdate(clock.nowMillis()));
        });
  }

  private void updateRouting(String server, long nowMillis) {
    BackendAnnouncement usable = backends.usable(server, nowMillis);
    if (usable == null) {
      removeFromRouting(server);
      return;
    }
    long sentAtMillis = backends.sentAtMillis(server);
    routableBackends.add(server);
    long readyAtMillis = readySinceMillis.computeIfAbsent(server, name -> nowMillis);
    handle(
        new RoutingEvent.BackendReported(BackendReports.of(usable, sentAtMillis, readyAtMillis)));
  }

  private void removeFromRouting(String server) {
    readySinceMillis.remove(server);
    if (routableBackends.remove(server)) {
      handle(new RoutingEvent.BackendRemoved(server));
    }
  }

  // ---- routing ----------------------------------------------------------------------------------

  @Override
  public long nextRequestId() {
    return requestIds.next();
  }

  @Override
  public Outcome<Assignment> route(RequestAttributes request, String requestName)
      throws InterruptedException {
    CompletableFuture<Outcome<Assignment>> future = new CompletableFuture<>();
    execute(
        () -> {
          pendingRequests.put(request.id(), new PendingRequest(request, requestName, future));
          handle(new RoutingEvent.Arrived(request));
        });
    try {
      return future.get();
    } catch (ExecutionException e) {
      return Outcome.failed(
          ResultCode.INTERNAL, "request " + requestName + " could not be routed: " + e.getCause());
    } catch (InterruptedException e) {
      execute(() -> abandon(request.id()));
      throw e;
    }
  }

  private void abandon(long requestId) {
    pendingRequests.remove(requestId);
    handle(new RoutingEvent.Abandoned(requestId));
  }

  @Override
  public void progressed(long requestId, int tokens) {
    execute(() -> handle(new RoutingEvent.Progressed(requestId, tokens)));
  }

  @Override
  public void finished(long requestId, int tokens, RoutingEvent.RequestOutcome outcome) {
    execute(() -> handle(new RoutingEvent.Finished(requestId, tokens, outcome)));
  }

  @Override
  public @Nullable BackendAnnouncement liveBackend(String server) {
    return aliveBackends.get(server);
  }

  @Override
  public Set<String> backendsWithoutTakeover() {
    Set<String> names = new HashSet<>();
    aliveBackends.forEach(
        (name, announcement) -> {
          if (announcement.resume() != BackendAnnouncement.Resume.TAKEOVER) {
            names.add(name);
          }
        });
    return names;
  }

  @Override
  public long acquireWorkspacePermit(Workspace workspace) {
    double requestsPerSecond = workspace.requestsPerSecond();
    if (requestsPerSecond == 0) {
      return 0;
    }
    int hosts = livePeers.count() + 1;
    return submit(
            () -> limiter.tryAcquire(workspace.name(), requestsPerSecond, hosts, clock.nowMillis()))
        .join();
  }

  @Override
  public void requested(String className) {
    execute(() -> retryBudget.requested(className));
  }

  @Override
  public long tryRetry(String className, int failures) {
    return submit(() -> retryBudget.tryRetry(className) ? retryBudget.backoffMillis(failures) : -1L)
        .join();
  }

  @Override
  public boolean isHostAlive(String host, long incarnation) {
    return livePeers.isAlive(host, incarnation);
  }

  private void handle(RoutingEvent event) {
    long nowMillis = clock.nowMillis();
    if (recorder != null) {
      recorder.record(event, nowMillis);
    }
    for (RoutingDecision decision : routing.handle(event, nowMillis)) {
      apply(decision, nowMillis);
    }
  }

  private void apply(RoutingDecision decision, long nowMillis) {
    switch (decision) {
      case RoutingDecision.Dispatch dispatch -> dispatch(dispatch, nowMillis);
      case RoutingDecision.Shed shed -> {
        PendingRequest request = pendingRequests.remove(shed.requestId());
        if (request != null) {
          recordExplanation(request.name(), "shed: " + shed.reason(), shed);
          request.future().complete(Outcome.failed(ShedMessages.failure(shed)));
        }
      }
    }
  }

  private void dispatch(RoutingDecision.Dispatch dispatch, long nowMillis) {
    PendingRequest request = pendingRequests.remove(dispatch.requestId());
    BackendAnnouncement server = backends.usable(dispatch.server(), nowMillis);
    if (request == null) {
      execute(() -> cancelPlacement(dispatch.requestId()));
    } else if (server == null) {
      // The backend server's lease has expired since the last tick: choose again without it.
      pendingRequests.put(dispatch.requestId(), request);
      execute(
          () -> {
            cancelPlacement(dispatch.requestId());
            removeFromRouting(dispatch.server());
            handle(new RoutingEvent.Arrived(request.request()));
          });
    } else {
      recordExplanation(request.name(), "dispatched to " + dispatch.server(), dispatch);
      request
          .future()
          .complete(
              Outcome.success(new Assignment(dispatch.requestId(), server, dispatch.priority())));
    }
  }

  private void cancelPlacement(long requestId) {
    handle(new RoutingEvent.Finished(requestId, 0, RoutingEvent.RequestOutcome.CANCELLED));
  }

  private void recordExplanation(String requestName, String decision, Object figures) {
    explainLog.add(requestName, new ExplainLog.Entry(clock.epochMillis(), decision, figures));
  }

  private void tick(long nowMillis) {
    for (String server : List.copyOf(routableBackends)) {
      if (backends.usable(server, nowMillis) == null) {
        removeFromRouting(server);
      }
    }
    aliveBackends.keySet().removeIf(name -> backends.alive(name, nowMillis) == null);
    if (nowMillis >= nextEvictionMillis) {
      nextEvictionMillis = nowMillis + EVICTION_INTERVAL_MILLIS;
      backends.evictOldEntries(nowMillis);
    }
    handle(new RoutingEvent.Tick());
  }

  // ---- dump -------------------------------------------------------------------------------------

  /**
   * State of the loop for the dump.
   *
   * @param revision active configuration revision
   * @param servesForMillis how long the host may serve with the leases it holds, in milliseconds
   * @param queued number of queued requests
   * @param servers load of each backend server
   * @param classes statistics of each service class
   * @param backends latest announcement of each backend server whose lease has not expired
   */
  public record View(
      long revision,
      long servesForMillis,
      int queued,
      Map<String, RoutingCore.BackendLoadView> servers,
      Map<String, RoutingCore.ClassView> classes,
      List<BackendAnnouncement> backends) {}

  /** Returns the state of the loop, read on the decision thread. */
  public CompletableFuture<View> view() {
    return submit(
        () -> {
          long nowMillis = clock.nowMillis();
          List<BackendAnnouncement> alive = new ArrayList<>(aliveBackends.values());
          alive.sort(java.util.Comparator.comparing(BackendAnnouncement::name));
          return new View(
              freshness.revision(),
              Math.max(0, servesUntilMillis - nowMillis),
              routing.queued(),
              routing.backendLoadViews(nowMillis),
              routing.classViews(),
              alive);
        });
  }

  private <T> CompletableFuture<T> submit(Supplier<T> supplier) {
    CompletableFuture<T> future = new CompletableFuture<>();
    execute(
        () -> {
          try {
            future.complete(supplier.get());
          } catch (RuntimeException e) {
            future.completeExceptionally(e);
            throw e;
          }
        });
    return future;
  }
}
