package org.curranthaven.internal.scheduler;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.curranthaven.api.Outcome;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.CrashSuspectState;
import org.curranthaven.internal.catalog.EvacuationState;
import org.curranthaven.internal.catalog.ServiceVersion;
import org.curranthaven.internal.catalog.StreamOriginState;
import org.curranthaven.internal.clients.ClientChannel;
import org.curranthaven.internal.clients.ClientConnections;
import org.curranthaven.internal.clients.HostLimits;
import org.curranthaven.internal.clients.ReadTurns;
import org.curranthaven.internal.configuration.FleetCommand;
import org.curranthaven.internal.configuration.FleetState;
import org.curranthaven.internal.consensus.ConsensusLoop;
import org.curranthaven.internal.consensus.DataFolder;
import org.curranthaven.internal.dispatch.RetryLimits;
import org.curranthaven.internal.relay.ControlRequest;
import org.curranthaven.internal.relay.WireProtocol;
import org.curranthaven.internal.settings.Addresses;
import org.curranthaven.internal.settings.Json;
import org.curranthaven.internal.settings.RoutedSettings;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.EventLoops;
import org.curranthaven.internal.transport.PeerListener;
import org.curranthaven.internal.transport.PeerNetwork;
import org.curranthaven.internal.transport.SharedMessage;
import org.curranthaven.internal.transport.wire.AdminReply;
import org.curranthaven.internal.transport.wire.AdminRequest;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.CommandReply;
import org.curranthaven.internal.transport.wire.CommandStatus;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.HostRecord;
import org.curranthaven.internal.transport.wire.KnownGateway;
import org.curranthaven.internal.transport.wire.KnownHosts;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * A control host: stores the replicated state, serves control requests from backend servers and
 * operators, and schedules requests while it is the leader.
 *
 * <pre>{@code
 * ControlHost host = new ControlHost(settings, protocol, folder, Clock.system());
 * host.start();
 * host.drain();
 * }</pre>
 */
public final class ControlHost implements PeerListener {
  /**
   * Pause before the consensus loop restarts; a failure that recurs must not take the processor.
   */
  private static final long CONSENSUS_RESTART_DELAY_MILLIS = 100;

  /**
   * Interval of the addresses of control hosts; they are also sent at each new connection, so that
   * this renews them only.
   */
  private static final long KNOWN_HOSTS_INTERVAL_MILLIS = 5_000;

  /** Gateways that each gateway is told of at a time, so that these messages stay small. */
  private static final int MAX_GATEWAYS_NAMED = 8;

  /** Time that a draining host leaves for the transfer of its leadership. */
  private static final long LEADERSHIP_TRANSFER_DELAY_MILLIS = 400;

  private static final int CONTROL_GROUP_ID = 0;

  /** Part of the heap that control requests may take, decoded documents not counted. */
  static final double CONTROL_MEMORY_PART = 0.25;

  /** Part of the heap, and so of the memory outside it, that unread control responses may take. */
  private static final double CONTROL_RESPONSE_MEMORY_PART = 0.125;

  private final RoutedSettings settings;
  private final Clock clock;
  private final WireProtocol protocol;
  private final EventLoopGroup eventLoopGroup;
  private final EventLoop eventLoop;
  private final DataFolder dataFolder;
  private final PeerNetwork network;
  private final ConsensusLoop consensus;
  private final LeadershipTracker leadership;
  private final Scheduler scheduler;
  private final EvacuationHandler evacuationHandler;
  private final LeaderClient leaderClient;
  private final EvacuationCalls evacuationCalls;
  private final ControlServer controlServer;
  private final RequestLog rejectedRequests = new RequestLog();
  private final long incarnation;

  /** Creates a host that does nothing until {@link #start} is called. */
  public ControlHost(
      RoutedSettings settings, WireProtocol protocol, DataFolder folder, Clock clock) {
    this.settings = settings;
    this.clock = clock;
    this.protocol = protocol;
    this.dataFolder = folder;
    this.incarnation = clock.epochMillis();
    this.eventLoopGroup = EventLoops.newGroup();
    this.eventLoop = eventLoopGroup.next();
    RandomGenerator random = new SplittableRandom(folder.identity().hashCode() ^ System.nanoTime());
    List<String> contacts = settings.contactPeerAddresses();
    HostLimits limits = HostLimits.control(settings.descriptorLimit());
    this.network =
        new PeerNetwork(
            settings.peerAddress(),
            contacts,
            this::describeSelf,
            this,
            eventLoopGroup,
            limits.peers());
    this.consensus =
        new ConsensusLoop(
            new ConsensusLoop.Dependencies(
                folder,
                CONTROL_GROUP_ID + 1,
                settings.firstStart() ? Set.copyOf(contacts) : Set.of(),
                settings.votersWanted(),
                groupId -> new FleetState(),
                this::describeSelf,
                this::connectedControlHosts,
                (identity, batch) ->
                    network.sendToIdentity(identity, Envelope.newBuilder().setConsensus(batch)),
                clock,
                new SplittableRandom(random.nextLong())));
    this.leadership =
        new LeadershipTracker(consensus, settings.votersWanted(), new LeadershipListener());
    consensus.addObserver(leadership);
    this.scheduler =
        new Scheduler(
            eventLoop,
            clock,
            random,
            new RetryLimits(
                settings.retryRatio(), settings.retrySlack(), settings.retryWindowMillis()),
            settings.backendTimeoutMillis(),
            () -> leadership.hasLease(clock.nowMillis()),
            this::connectedGateways,
            new NetworkSender(),
            new ReplicatedSchedulerLog(),
            this::addDataCentre,
            protocol.features(settings.protocolFeatures()));
    this.evacuationHandler =
        new EvacuationHandler(
            scheduler, clock, leadership::canAcceptCatalogs, this::commitEvacuation);
    this.leaderClient = new LeaderClient(eventLoop, clock, network::send, leadership::leaderHost);
    this.evacuationCalls =
        new EvacuationCalls(settings.name(), clock, this::sendEvacuation, protocol::evacuationCall);
    ClientConnections clients =
        ClientConnections.of(
            limits.connections(), (long) (Runtime.getRuntime().maxMemory() * CONTROL_MEMORY_PART));
    this.controlServer =
        new ControlServer(
            eventLoopGroup,
            new ClientChannel.Shared(clients, new ReadTurns(eventLoop), clock),
            protocol,
            this::handleControlRequest,
            (long) (Runtime.getRuntime().maxMemory() * CONTROL_RESPONSE_MEMORY_PART));
  }

  /** Opens the peer and control addresses, joins consensus and connects to the other hosts. */
  public void start() throws InterruptedException {
    network.start();
    Thread.ofPlatform().daemon(true).name("consensus").start(this::runConsensus);
    controlServer.bind(Addresses.parse(String.valueOf(settings.controlAddress())));
    eventLoop.scheduleAtFixedRate(
        this::broadcastControlHosts,
        KNOWN_HOSTS_INTERVAL_MILLIS,
        KNOWN_HOSTS_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
    Logger.info(
        "control host {} listening for control requests at {}",
        settings.name(),
        settings.controlAddress());
  }

  private void runConsensus() {
    while (true) {
      try {
        consensus.run();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      } catch (IOException | RuntimeException e) {
        Logger.error(e, "consensus loop of control host {} failed, restarting it", settings.name());
        pauseBeforeRestart();
      }
    }
  }

  private static void pauseBeforeRestart() {
    try {
      Thread.sleep(CONSENSUS_RESTART_DELAY_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Prepares a planned stop: transfers leadership of every group that this host leads, and waits
   * for {@link #LEADERSHIP_TRANSFER_DELAY_MILLIS}.
   */
  public void drain() throws InterruptedException {
    Logger.info(
        "control host {} draining: transferring leadership, waiting {} ms",
        settings.name(),
        LEADERSHIP_TRANSFER_DELAY_MILLIS);
    consensus.transferLeadership();
    Thread.sleep(LEADERSHIP_TRANSFER_DELAY_MILLIS);
  }

  private HostRecord describeSelf() {
    return HostRecord.newBuilder()
        .setName(settings.name())
        .setDataCentre(settings.dataCentre())
        .setPeerAddress(settings.peerAddress())
        .setIncarnation(incarnation)
        .setControl(true)
        .setIdentity(dataFolder.identity())
        .setFormed(consensus.hasReplicas())
        .build();
  }

  private Collection<HostRecord> connectedControlHosts() {
    return network.connectedHosts().stream().filter(HostRecord::getControl).toList();
  }

  private Collection<HostRecord> connectedGateways() {
    return network.connectedHosts().stream().filter(host -> !host.getControl()).toList();
  }

  /** Sends the addresses of the known control hosts to every connected host. */
  private void broadcastControlHosts() {
    sendControlHosts(network.connectedHosts());
  }

  private void sendControlHosts(Collection<HostRecord> hosts) {
    KnownHosts.Builder known = KnownHosts.newBuilder().addControlAddresses(settings.peerAddress());
    connectedControlHosts().forEach(control -> known.addControlAddresses(control.getPeerAddress()));
    known.addAllGateways(someGateways());
    KnownHosts knownHosts = known.build();
    for (HostRecord host : hosts) {
      network.send(host.getName(), Envelope.newBuilder().setKnownHosts(knownHosts));
    }
  }

  /** Returns a few gateways, others each time. */
  private List<KnownGateway> someGateways() {
    List<HostRecord> connected = new ArrayList<>(connectedGateways());
    Collections.shuffle(connected);
    return connected.stream()
        .filter(gateway -> !gateway.getHttpAddress().isEmpty())
        .limit(MAX_GATEWAYS_NAMED)
        .map(
            gateway ->
                KnownGateway.newBuilder()
                    .setCallerAddress(gateway.getHttpAddress())
                    .setDataCentre(gateway.getDataCentre())
                    .build())
        .toList();
  }

  /** Passes leadership and catalog changes from the consensus thread to the event loop. */
  private final class LeadershipListener implements LeadershipTracker.Listener {
    @Override
    public void leadershipChanged(long term, @Nullable FleetState state) {
      List<ServiceVersion> versions = state == null ? List.of() : state.servedVersions().all();
      EvacuationState.Snapshot evacuation =
          state == null ? EvacuationState.Snapshot.EMPTY : state.evacuation().snapshot();
      StreamOriginState.Snapshot streamOrigins =
          state == null ? StreamOriginState.Snapshot.EMPTY : state.streamOrigins().snapshot();
      CrashSuspectState.Snapshot suspects =
          state == null ? CrashSuspectState.Snapshot.EMPTY : state.crashSuspects().snapshot();
      eventLoop.execute(
          () -> {
            scheduler.setEvacuation(evacuation);
            scheduler.setCommitted(streamOrigins, suspects);
            scheduler.setTerm(term, versions);
          });
    }

    @Override
    public void catalogApplied(long revision, ByteString document) {
      switch (protocol.catalogs().decode(document.toByteArray())) {
        case Outcome.Failed<Catalog> failed ->
            Logger.error(
                "committed catalog revision {} cannot be decoded: {}", revision, failed.failure());
        case Outcome.Success<Catalog> success ->
            eventLoop.execute(() -> scheduler.applyCatalog(success.value(), document));
      }
    }
  }

  /** Sends the scheduler's messages over the connections of this host. */
  private final class NetworkSender implements GatewaySender {
    @Override
    public void send(String gateway, Envelope.Builder message) {
      network.send(gateway, message);
    }

    @Override
    public boolean send(
        String gateway, Envelope.Builder message, SharedMessage shared, Runnable onWritten) {
      return network.send(gateway, message, shared, onWritten);
    }
  }

  /** Replicates what the next scheduler has to know in group 0. */
  private final class ReplicatedSchedulerLog implements SchedulerLog {
    @Override
    public void add(ServiceVersion version, Consumer<Boolean> callback) {
      commit(new FleetCommand.AddServedVersion(version), callback);
    }

    @Override
    public void remove(Collection<ServiceVersion> versions) {
      commit(new FleetCommand.RemoveServedVersions(List.copyOf(versions)), accepted -> {});
    }

    @Override
    public void recordOrigins(
        FleetCommand.RecordStreamOrigins origins, Consumer<Boolean> callback) {
      commit(origins, callback);
    }

    @Override
    public void recordCrashSuspects(
        CrashSuspectState.Snapshot suspects, Consumer<Boolean> callback) {
      commit(new FleetCommand.RecordCrashSuspects(suspects), callback);
    }
  }

  private void addDataCentre(String dataCentre, Consumer<Boolean> callback) {
    commit(new FleetCommand.AddDataCentre(dataCentre), callback);
  }

  /** Commits a command; the callback runs on the event loop, with whether it is applied. */
  private void commit(FleetCommand command, Consumer<Boolean> callback) {
    consensus.propose(
        CONTROL_GROUP_ID,
        Json.write(command),
        reply -> eventLoop.execute(() -> callback.accept(isApplied(reply))));
  }

  private void commitEvacuation(
      ByteString order, Consumer<EvacuationState.@Nullable Result> callback) {
    consensus.propose(
        CONTROL_GROUP_ID,
        order,
        reply -> {
          EvacuationState.Result result =
              isApplied(reply) ? Json.read(reply.getResult(), EvacuationState.Result.class) : null;
          eventLoop.execute(() -> callback.accept(result));
        });
  }

  private static boolean isApplied(CommandReply reply) {
    return reply.getStatus() == CommandStatus.COMMAND_STATUS_APPLIED;
  }

  // ---- control requests -------------------------------------------------------------------------

  private void handleControlRequest(ControlRequest request, Consumer<ControlResponse> callback) {
    switch (request) {
      case ControlRequest.Register register ->
          leaderClient.send(
              LeaderClient.REGISTER,
              register.backend().toByteString(),
              LeaderClient.REGISTRATION_TIMEOUT_MILLIS,
              callback);
      case ControlRequest.Deregister deregister ->
          leaderClient.send(
              LeaderClient.DEREGISTER,
              ByteString.copyFromUtf8(deregister.name()),
              LeaderClient.REGISTRATION_TIMEOUT_MILLIS,
              callback);
      case ControlRequest.ReplaceCatalog replace -> replaceCatalog(replace, callback);
      case ControlRequest.ReadCatalog ignored ->
          leaderClient.send(
              LeaderClient.READ_CATALOG,
              ByteString.EMPTY,
              LeaderClient.READ_TIMEOUT_MILLIS,
              callback);
      case ControlRequest.Evacuate order ->
          evacuationCalls.handle(
              new FleetCommand.Evacuate(order.dataCentre(), order.revision()), callback);
      case ControlRequest.EndEvacuation end ->
          evacuationCalls.handle(
              new FleetCommand.EndEvacuation(end.dataCentre(), end.revision()), callback);
      case ControlRequest.Invalid invalid -> {
        rejectedRequests.write(
            clock.nowMillis(), "control request rejected: {}", invalid.message());
        callback.accept(ControlResponse.error(invalid.status(), invalid.message()));
      }
    }
  }

  private void sendEvacuation(
      FleetCommand.EvacuationOrder order, Consumer<ControlResponse> callback) {
    leaderClient.send(
        LeaderClient.EVACUATE, Json.write(order), LeaderClient.EVACUATION_TIMEOUT_MILLIS, callback);
  }

  private void replaceCatalog(
      ControlRequest.ReplaceCatalog replace, Consumer<ControlResponse> callback) {
    switch (protocol.catalogs().decode(replace.document())) {
      case Outcome.Failed<Catalog> failed ->
          callback.accept(ControlResponse.error(400, failed.failure().fullMessage()));
      case Outcome.Success<Catalog> success ->
          leaderClient.send(
              LeaderClient.REPLACE_CATALOG,
              Json.write(
                  new FleetCommand.ReplaceCatalog(success.value().revision(), replace.document())),
              LeaderClient.CHANGE_TIMEOUT_MILLIS,
              callback);
    }
  }

  /** Handles a request that a control host, possibly this one, forwarded to the leader. */
  private void handleAsLeader(HostRecord from, AdminRequest request) {
    Consumer<AdminReply.Builder> reply =
        adminReply ->
            network.send(
                from.getName(),
                Envelope.newBuilder()
                    .setAdminReply(adminReply.setRequestId(request.getRequestId())));
    if (!scheduler.isLeading()) {
      reply.accept(AdminReply.newBuilder().setStatus(LeaderClient.NOT_LEADER));
      return;
    }
    Consumer<Boolean> done =
        accepted ->
            reply.accept(
                AdminReply.newBuilder()
                    .setStatus(accepted ? LeaderClient.OK : LeaderClient.NOT_LEADER));
    switch (request.getPath()) {
      case LeaderClient.REGISTER -> registerAsLeader(from, request.getJson(), done);
      case LeaderClient.DEREGISTER -> scheduler.deregister(request.getJson().toStringUtf8(), done);
      case LeaderClient.REPLACE_CATALOG -> replaceCatalogAsLeader(request.getJson(), done);
      case LeaderClient.READ_CATALOG -> readCatalogAsLeader(reply);
      case LeaderClient.EVACUATE -> evacuationHandler.handle(request.getJson(), reply);
      default -> reply.accept(AdminReply.newBuilder().setStatus(LeaderClient.UNKNOWN_PATH));
    }
  }

  private void registerAsLeader(HostRecord from, ByteString record, Consumer<Boolean> done) {
    try {
      scheduler.register(BackendRecord.parseFrom(record), done);
    } catch (InvalidProtocolBufferException e) {
      Logger.error(
          "registration forwarded by control host {} cannot be decoded: {}",
          from.getName(),
          e.getMessage());
      done.accept(false);
    }
  }

  private void replaceCatalogAsLeader(ByteString command, Consumer<Boolean> done) {
    if (!leadership.canAcceptCatalogs()) {
      done.accept(false);
      return;
    }
    consensus.propose(
        CONTROL_GROUP_ID,
        command,
        reply -> {
          boolean applied = isApplied(reply);
          long revision = applied ? Json.read(reply.getResult(), Long.class) : 0;
          eventLoop.execute(
              () -> {
                if (applied) {
                  scheduler.notifyWhenCatalogActive(revision, done);
                } else {
                  done.accept(false);
                }
              });
        });
  }

  private void readCatalogAsLeader(Consumer<AdminReply.Builder> callback) {
    consensus.propose(
        CONTROL_GROUP_ID,
        Json.write(new FleetCommand.ReadCatalog()),
        reply -> {
          boolean applied = isApplied(reply);
          AdminReply.Builder adminReply =
              AdminReply.newBuilder().setStatus(LeaderClient.NOT_LEADER);
          if (applied && consensus.stateMachine(CONTROL_GROUP_ID) instanceof FleetState state) {
            adminReply.setStatus(LeaderClient.OK).setJson(state.catalog().document());
          }
          eventLoop.execute(() -> callback.accept(adminReply));
        });
  }

  // ---- connections to other hosts ---------------------------------------------------------------

  @Override
  public void received(HostRecord from, Envelope message) {
    switch (message.getPayloadCase()) {
      case CONSENSUS -> consensus.receive(message.getFromIdentity(), message.getConsensus());
      case KNOWN_HOSTS ->
          message.getKnownHosts().getControlAddressesList().forEach(network::addDiscoveredAddress);
      case GATEWAY_STATUS -> scheduler.handleStatus(from, message.getGatewayStatus());
      case DISPATCH_REQUESTS -> scheduler.handleRequests(from, message.getDispatchRequests());
      case ADMIN_REQUEST -> handleAsLeader(from, message.getAdminRequest());
      case ADMIN_REPLY -> leaderClient.handleReply(message.getAdminReply());
      default -> {}
    }
  }

  @Override
  public void connected(HostRecord host) {
    Logger.info("connected to host {}", host.getName());
    if (host.getControl()) {
      eventLoop.execute(this::broadcastControlHosts);
    } else {
      eventLoop.execute(
          () -> {
            sendControlHosts(List.of(host));
            scheduler.gatewayConnected(host);
          });
    }
  }

  @Override
  public void disconnected(HostRecord host) {
    Logger.info("connection to host {} lost", host.getName());
    if (!host.getControl()) {
      eventLoop.execute(() -> scheduler.gatewayDisconnected(host));
    }
  }
}
