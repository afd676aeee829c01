package org.curranthaven.internal.host;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.random.RandomGenerator;
import org.curranthaven.api.Configuration;
import org.curranthaven.api.Outcome;
import org.curranthaven.internal.configuration.FleetCoordinator;
import org.curranthaven.internal.configuration.FleetState;
import org.curranthaven.internal.consensus.ConsensusLoop;
import org.curranthaven.internal.consensus.DataFolder;
import org.curranthaven.internal.gateway.CallerApi;
import org.curranthaven.internal.gateway.CallerServer;
import org.curranthaven.internal.gateway.Metrics;
import org.curranthaven.internal.ledger.Ledger;
import org.curranthaven.internal.ledger.LedgerState;
import org.curranthaven.internal.ledger.ReplicatedLedger;
import org.curranthaven.internal.membership.BackendAnnouncement;
import org.curranthaven.internal.membership.BackendView;
import org.curranthaven.internal.observe.ExplainLog;
import org.curranthaven.internal.observe.RoutingRecorder;
import org.curranthaven.internal.routing.ForecastOptions;
import org.curranthaven.internal.routing.HostShare;
import org.curranthaven.internal.routing.MemoryForecast;
import org.curranthaven.internal.routing.Policy;
import org.curranthaven.internal.routing.RoutingCore;
import org.curranthaven.internal.routing.ShareUpdate;
import org.curranthaven.internal.settings.Addresses;
import org.curranthaven.internal.settings.HostSettings;
import org.curranthaven.internal.settings.Json;
import org.curranthaven.internal.supervision.Child;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.supervision.RestartPolicy;
import org.curranthaven.internal.supervision.Supervisor;
import org.curranthaven.internal.transport.ControlClient;
import org.curranthaven.internal.transport.PeerListener;
import org.curranthaven.internal.transport.PeerNetwork;
import org.curranthaven.internal.transport.wire.AdminRequest;
import org.curranthaven.internal.transport.wire.BackendAnnouncementOrBuilder;
import org.curranthaven.internal.transport.wire.CommandRequest;
import org.curranthaven.internal.transport.wire.DispatchShare;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.FreshnessGrant;
import org.curranthaven.internal.transport.wire.FreshnessRequest;
import org.curranthaven.internal.transport.wire.HostRecord;
import org.curranthaven.internal.transport.wire.SoftState;
import org.curranthaven.internal.transport.wire.VoterFreshnessReply;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Process of one host: creates its components, connects them and runs them under a supervisor.
 *
 * <pre>{@code
 * HostProcess host = HostProcess.start(settings, Clock.system());
 * host.drain();
 * host.stop();
 * }</pre>
 */
public final class HostProcess implements PeerListener {
  private static final long SOFT_STATE_INTERVAL_MILLIS = 50;
  private static final long FRESHNESS_INTERVAL_MILLIS = 300;
  private static final long DUMP_TIMEOUT_MILLIS = 2_000;
  private static final long DRAIN_POLL_INTERVAL_MILLIS = 20;

  /** Time allowed for a leadership transfer before a planned stop, in milliseconds. */
  private static final long LEADERSHIP_TRANSFER_MILLIS = 300;

  private final HostSettings settings;
  private final Clock clock;
  private final long incarnation;
  private final @Nullable DataFolder dataFolder;
  private final @Nullable ConsensusLoop consensus;
  private final @Nullable FleetCoordinator coordinator;
  private final PeerNetwork network;
  private final ControlClient controlClient;
  private final ChangeClient changeClient;
  private final Ledger ledger;
  private final DecisionLoop decisions;
  private final CallerServer server;
  private final Supervisor rootSupervisor;
  private final Metrics metrics;
  private volatile boolean draining;
  private @Nullable Thread supervisorThread;

  private HostProcess(
      HostSettings settings, Clock clock, @Nullable DataFolder dataFolder, @Nullable Path trace) {
    this.settings = settings;
    this.clock = clock;
    this.dataFolder = dataFolder;
    this.incarnation = clock.epochMillis();
    this.metrics = new Metrics(clock);
    RandomGenerator random = new SplittableRandom(settings.name().hashCode() ^ incarnation);
    ExplainLog explainLog = new ExplainLog();
    this.network =
        new PeerNetwork(settings.peerAddress(), settings.controlHosts(), this::hostRecord, this);
    this.controlClient = new ControlClient(network, clock);
    this.changeClient = new ChangeClient(network, controlClient, clock);
    this.consensus = dataFolder == null ? null : newConsensus(dataFolder);
    this.coordinator = consensus == null ? null : new FleetCoordinator(consensus, network, clock);
    if (consensus != null && coordinator != null) {
      consensus.addObserver(coordinator);
    }
    this.decisions =
        new DecisionLoop(
            clock,
            random,
            () ->
                new RoutingCore(
                    settings.name(),
                    new Policy.Forecast(ForecastOptions.standard()),
                    new SplittableRandom(incarnation)),
            trace == null ? null : RoutingRecorder.start(trace, settings.name(), incarnation),
            explainLog,
            new ConnectedPeers());
    this.ledger =
        new ReplicatedLedger(
            controlClient,
            settings.ledgerGroups(),
            settings.name(),
            incarnation,
            clock::epochMillis);
    CallerApi callers =
        new CallerApi(
            decisions,
            ledger,
            clock,
            metrics,
            settings.maxBodyBytes(),
            () -> draining,
            RandomGenerator.getDefault());
    AdminApi admin =
        new AdminApi(
            decisions,
            changeClient,
            metrics,
            explainLog,
            this::dump,
            this::listHosts,
            () -> draining);
    this.server = new CallerServer(Addresses.parse(settings.httpAddress()), callers, admin);
    this.rootSupervisor = new Supervisor(settings.name(), clock);
    addChildren();
  }

  /** Starts a host. Fails if its data folder cannot be used. */
  public static Outcome<HostProcess> start(HostSettings settings, Clock clock) {
    return start(settings, clock, null);
  }

  /** Starts a host that records the events of its routing core to {@code trace}, if not null. */
  public static Outcome<HostProcess> start(
      HostSettings settings, Clock clock, @Nullable Path trace) {
    if (settings.dataFolder() == null) {
      return Outcome.success(new HostProcess(settings, clock, null, trace).launch());
    }
    Outcome<DataFolder> opened = DataFolder.open(settings.dataFolder());
    return switch (opened) {
      case Outcome.Success<DataFolder> success ->
          Outcome.success(new HostProcess(settings, clock, success.value(), trace).launch());
      case Outcome.Failed<DataFolder> failed -> Outcome.failed(failed.failure());
    };
  }

  private HostProcess launch() {
    metrics.gauge("curranthaven_open_requests", server::openRequests);
    metrics.gauge("curranthaven_peer_bytes_sent", network::bytesSent);
    metrics.gauge("curranthaven_peer_messages_sent", network::messagesSent);
    supervisorThread =
        Thread.ofPlatform().daemon(true).name(settings.name()).start(this::runSupervisor);
    return this;
  }

  private void runSupervisor() {
    try {
      rootSupervisor.run();
    } catch (InterruptedException e) {
      Logger.info("host {} stopped", settings.name());
    } catch (IllegalStateException e) {
      Logger.error("host {} stopped after a failure: {}", settings.name(), e.getMessage());
    }
  }

  private ConsensusLoop newConsensus(DataFolder folder) {
    return new ConsensusLoop(
        new ConsensusLoop.Dependencies(
            folder,
            settings.ledgerGroups() + 1,
            Set.copyOf(settings.controlHosts()),
            settings.votersWanted(),
            groupId -> groupId == 0 ? new FleetState() : new LedgerState(),
            this::hostRecord,
            this::connectedControlHosts,
            (identity, batch) ->
                network.sendToIdentity(identity, Envelope.newBuilder().setConsensus(batch)),
            clock,
            new SplittableRandom(incarnation)));
  }

  private void addChildren() {
    if (consensus != null) {
      rootSupervisor.add("consensus", RestartPolicy.standard(), consensus);
    }
    rootSupervisor.add("decisions", RestartPolicy.standard(), decisions);
    rootSupervisor.add("network", RestartPolicy.standard(), network);
    rootSupervisor.add(
        "gossip",
        RestartPolicy.standard(),
        periodic(SOFT_STATE_INTERVAL_MILLIS, this::sendSoftState));
    rootSupervisor.add(
        "freshness",
        RestartPolicy.standard(),
        periodic(FRESHNESS_INTERVAL_MILLIS, this::requestFreshness));
    rootSupervisor.add("http", RestartPolicy.standard(), server);
  }

  private interface PeriodicTask {
    void run() throws Exception;
  }

  private static Child periodic(long intervalMillis, PeriodicTask task) {
    return () -> {
      while (true) {
        task.run();
        Thread.sleep(intervalMillis);
      }
    };
  }

  // ---- lifecycle --------------------------------------------------------------------------------

  /** Returns the host's name. */
  public String name() {
    return settings.name();
  }

  /** Returns the host's settings. */
  public HostSettings settings() {
    return settings;
  }

  /** Returns the connections to other hosts. */
  public PeerNetwork network() {
    return network;
  }

  /** Returns the ledger of requests that must not run twice. */
  public Ledger ledger() {
    return ledger;
  }

  /** Returns whether the host may accept new work. */
  public boolean isReady() {
    return !draining && decisions.mayServe();
  }

  /** Returns the configuration that is active on this host. */
  public Configuration configuration() {
    return decisions.configuration();
  }

  /** Returns the number of open requests of callers. */
  public int openRequests() {
    return server.openRequests();
  }

  /** Returns why the host failed, or null if it has not. */
  public @Nullable String failureReason() {
    return rootSupervisor.failureReason();
  }

  /**
   * Drains the host before a planned stop: accepts no new work, waits until the open requests have
   * ended or the drain time is over, and then transfers leadership.
   *
   * @return number of requests that are still open
   */
  public int drain() throws InterruptedException {
    draining = true;
    long deadlineMillis = clock.nowMillis() + settings.drainMillis();
    while (server.openRequests() > 0 && clock.nowMillis() < deadlineMillis) {
      Thread.sleep(DRAIN_POLL_INTERVAL_MILLIS);
    }
    if (consensus != null) {
      consensus.transferLeadership();
      Thread.sleep(LEADERSHIP_TRANSFER_MILLIS);
    }
    return server.openRequests();
  }

  /** Stops the host at once; open requests are interrupted. */
  public void stop() {
    Thread running = supervisorThread;
    if (running != null) {
      running.interrupt();
      try {
        running.join();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    try {
      if (dataFolder != null) {
        dataFolder.close();
      }
    } catch (IOException e) {
      Logger.warn(
          "host {}: lock of the data folder could not be released: {}",
          settings.name(),
          e.getMessage());
    }
  }

  /** Waits until the host has stopped. */
  public void join() throws InterruptedException {
    Thread running = supervisorThread;
    if (running != null) {
      running.join();
    }
  }

  private HostRecord hostRecord() {
    HostRecord.Builder host =
        HostRecord.newBuilder()
            .setName(settings.name())
            .setDataCentre(settings.dataCentre())
            .setPeerAddress(settings.peerAddress())
            .setHttpAddress(settings.httpAddress())
            .setIncarnation(incarnation)
            .setControl(settings.control())
            .setDraining(draining);
    if (dataFolder != null) {
      host.setIdentity(dataFolder.identity());
    }
    if (consensus != null) {
      host.setFormed(consensus.hasReplicas());
    }
    return host.build();
  }

  /** Description of a host for operators. */
  public record HostView(
      String name, String dataCentre, String httpAddress, boolean control, long incarnation) {
    static HostView of(HostRecord host) {
      return new HostView(
          host.getName(),
          host.getDataCentre(),
          host.getHttpAddress(),
          host.getControl(),
          host.getIncarnation());
    }
  }

  private List<HostView> listHosts() {
    List<HostView> hosts = new ArrayList<>();
    hosts.add(HostView.of(hostRecord()));
    network.connectedHosts().forEach(host -> hosts.add(HostView.of(host)));
    hosts.sort(java.util.Comparator.comparing(HostView::name));
    return hosts;
  }

  private List<HostRecord> connectedControlHosts() {
    return network.connectedHosts().stream().filter(HostRecord::getControl).toList();
  }

  /** Processes of the other hosts, which are alive while they are connected. */
  private final class ConnectedPeers implements DecisionLoop.LivePeers {
    @Override
    public boolean isAlive(String host, long hostIncarnation) {
      if (host.equals(settings.name())) {
        return hostIncarnation == incarnation;
      }
      return network.connectedHosts().stream()
          .filter(peer -> peer.getName().equals(host))
          .anyMatch(peer -> peer.getIncarnation() == hostIncarnation);
    }

    @Override
    public int count() {
      return network.connectedHosts().size();
    }
  }

  // ---- messages sent periodically ---------------------------------------------------------------

  private void requestFreshness() {
    long nowMillis = clock.nowMillis();
    FreshnessRequest.Builder request =
        FreshnessRequest.newBuilder()
            .setHost(hostRecord())
            .setRevision(decisions.configuration().revision())
            .setSentAtMillis(nowMillis);
    if (coordinator != null) {
      // Read after the revision, so that the list has every lease granted for an older revision.
      request.addAllPeerLeases(coordinator.leasesGranted(nowMillis));
    }
    for (String host : controlClient.reachableControlHosts()) {
      network.send(host, Envelope.newBuilder().setFreshnessRequest(request));
    }
  }

  private void sendSoftState() throws InterruptedException, ExecutionException {
    DecisionLoop.Outgoing outgoing = decisions.drainOutgoing().get();
    if (outgoing.isEmpty()) {
      return;
    }
    SoftState.Builder softState = SoftState.newBuilder().setFullShares(outgoing.shares().full());
    for (BackendView.AgedAnnouncement aged : outgoing.announcements()) {
      softState.addAnnouncements(
          org.curranthaven.internal.transport.wire.BackendAnnouncement.newBuilder()
              .setJson(Json.write(aged.announcement()))
              .setAgeMillis(aged.ageMillis() + BackendView.HOP_ALLOWANCE_MILLIS));
    }
    for (HostShare share : outgoing.shares().shares()) {
      softState.addShares(toWire(share));
    }
    for (HostRecord host : network.connectedHosts()) {
      network.send(host.getName(), Envelope.newBuilder().setSoftState(softState));
    }
  }

  private static DispatchShare toWire(HostShare share) {
    DispatchShare.Builder wireShare =
        DispatchShare.newBuilder().setBackend(share.server()).setRunning(share.running());
    for (double mean : share.forecast().means()) {
      wireShare.addMeanBlocks((float) mean);
    }
    for (double variance : share.forecast().variances()) {
      wireShare.addVarianceBlocks((float) variance);
    }
    return wireShare.build();
  }

  // ---- messages received ------------------------------------------------------------------------

  @Override
  public void received(HostRecord from, Envelope message) {
    switch (message.getPayloadCase()) {
      case CONSENSUS -> {
        if (consensus != null) {
          consensus.receive(message.getFromIdentity(), message.getConsensus());
        }
      }
      case COMMAND_REQUEST -> handleCommand(from, message.getCommandRequest());
      case COMMAND_REPLY -> controlClient.handleReply(message.getCommandReply());
      case FRESHNESS_REQUEST -> {
        if (coordinator != null) {
          coordinator.receive(from, message.getFreshnessRequest());
        }
      }
      case FRESHNESS_GRANT -> handleFreshnessGrant(message.getFreshnessGrant());
      case REVISION_ANSWER ->
          handleVoterFreshnessReply(message.getFromIdentity(), message.getRevisionAnswer());
      case SOFT_STATE -> handleSoftState(from, message.getSoftState());
      case ADMIN_REQUEST -> handleAdminRequest(from, message.getAdminRequest());
      case ADMIN_REPLY -> changeClient.received(message.getAdminReply());
      default -> {}
    }
  }

  private void handleCommand(HostRecord from, CommandRequest request) {
    if (consensus == null) {
      return;
    }
    consensus.propose(
        request.getGroupId(),
        request.getCommand(),
        reply ->
            network.send(
                from.getName(),
                Envelope.newBuilder()
                    .setCommandReply(reply.toBuilder().setRequestId(request.getRequestId()))));
  }

  private void handleFreshnessGrant(FreshnessGrant grant) {
    boolean newer = grant.getRevision() > decisions.configuration().revision();
    if (newer && !grant.getConfiguration().isEmpty()) {
      decisions.activate(Json.read(grant.getConfiguration(), Configuration.class));
    }
    if (newer && grant.getDeltasCount() > 0) {
      decisions.activateDeltas(grant.getDeltasList());
    }
    if (grant.getGranted()) {
      decisions.grantedByLeader(grant.getRevision(), grant.getEchoedSentAtMillis());
    } else if (newer) {
      // Reports to the leader at once that the new revision is active here.
      decisions.execute(this::requestFreshness);
    }
    for (HostRecord host : grant.getHostsList()) {
      if (!host.getName().equals(settings.name())) {
        network.addDiscoveredAddress(host.getPeerAddress());
      }
    }
  }

  private void handleVoterFreshnessReply(String identity, VoterFreshnessReply reply) {
    decisions.voterReplied(
        identity,
        reply.getRevision(),
        reply.getGranted(),
        reply.getWitnessSetVersion(),
        reply.getWitnessSetSize(),
        reply.getEchoedSentAtMillis());
  }

  private void handleSoftState(HostRecord from, SoftState state) {
    for (BackendAnnouncementOrBuilder received : state.getAnnouncementsList()) {
      BackendAnnouncement announcement = Json.read(received.getJson(), BackendAnnouncement.class);
      decisions.backendAnnounced(announcement, received.getAgeMillis(), false);
    }
    List<HostShare> shares = new ArrayList<>();
    for (DispatchShare share : state.getSharesList()) {
      shares.add(
          new HostShare(
              share.getBackend(),
              share.getRunning(),
              MemoryForecast.of(
                  toDoubles(share.getMeanBlocksList()), toDoubles(share.getVarianceBlocksList()))));
    }
    decisions.sharesReported(from.getName(), new ShareUpdate(state.getFullShares(), shares));
  }

  private static double[] toDoubles(List<Float> values) {
    return values.stream().mapToDouble(Float::doubleValue).toArray();
  }

  private void handleAdminRequest(HostRecord from, AdminRequest request) {
    if (coordinator == null) {
      return;
    }
    AdminService.handle(
        coordinator,
        request,
        reply -> network.send(from.getName(), Envelope.newBuilder().setAdminReply(reply)));
  }

  @Override
  public void connected(HostRecord host) {
    Logger.info("host {}: connected to host {}", settings.name(), host.getName());
  }

  @Override
  public void disconnected(HostRecord host) {
    Logger.info("host {}: connection to host {} lost", settings.name(), host.getName());
    decisions.hostDisconnected(host.getName());
  }

  // ---- dump -------------------------------------------------------------------------------------

  /** Returns the state of the process for operators. */
  public Map<String, Object> dump() {
    Map<String, Object> dump = new LinkedHashMap<>();
    dump.put("host", settings.name());
    dump.put("dataCentre", settings.dataCentre());
    dump.put("incarnation", incarnation);
    dump.put("draining", draining);
    dump.put("ready", isReady());
    dump.put("openRequests", server.openRequests());
    dump.put("children", rootSupervisor.statuses());
    dump.put("peers", network.connectedHosts().stream().map(HostRecord::getName).sorted().toList());
    dump.put("decisions", awaitValue(decisions.view()));
    if (consensus != null) {
      dump.put("storageFailure", consensus.storageFailure());
      dump.put("groups", awaitValue(ConsensusDump.of(consensus, settings.ledgerGroups() + 1)));
    }
    return dump;
  }

  private static Object awaitValue(java.util.concurrent.CompletableFuture<?> future) {
    try {
      return future.get(DUMP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      return "no response within " + DUMP_TIMEOUT_MILLIS + " ms";
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return "interrupted";
    }
  }
}
