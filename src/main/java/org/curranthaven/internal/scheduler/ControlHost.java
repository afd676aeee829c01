package org.curranthaven.internal.scheduler;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.curranthaven.api.Outcome;
import org.curranthaven.internal.catalog.Catalog;
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
import org.curranthaven.internal.transport.PeerListener;
import org.curranthaven.internal.transport.PeerNetwork;
import org.curranthaven.internal.transport.wire.AdminReply;
import org.curranthaven.internal.transport.wire.AdminRequest;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.CommandStatus;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.HostRecord;
import org.curranthaven.internal.transport.wire.KnownHosts;
import org.tinylog.Logger;

/**
 * A host that keeps the durable state, takes registrations and operators' calls, and schedules
 * while it leads.
 *
 * <pre>{@code
 * ControlHost host = new ControlHost(settings, protocol, folder, Clock.system());
 * host.start();
 * host.drain();
 * }</pre>
 */
public final class ControlHost implements PeerListener {
  private static final long GOSSIP_MILLIS = 1_000;
  private static final long HANDOVER_MILLIS = 400;
  private static final int GROUP = 0;

  private final RoutedSettings settings;
  private final WireProtocol protocol;
  private final EventLoopGroup group;
  private final EventLoop loop;
  private final DataFolder folder;
  private final PeerNetwork network;
  private final ConsensusLoop consensus;
  private final LeadershipTracker leadership;
  private final Scheduler scheduler;
  private final LeaderClient leader;
  private final ControlServer server;
  private final long incarnation;

  /** Creates a host; it starts with {@link #start}. */
  public ControlHost(
      RoutedSettings settings, WireProtocol protocol, DataFolder folder, Clock clock) {
    this.settings = settings;
    this.protocol = protocol;
    this.folder = folder;
    this.incarnation = clock.epochMillis();
    this.group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    this.loop = group.next();
    RandomGenerator random = new SplittableRandom(folder.identity().hashCode() ^ System.nanoTime());
    List<String> contacts = settings.contactPeerAddresses();
    this.network = new PeerNetwork(settings.peerAddress(), contacts, this::describe, this, group);
    this.consensus =
        new ConsensusLoop(
            new ConsensusLoop.Dependencies(
                folder,
                GROUP + 1,
                settings.firstStart() ? Set.copyOf(contacts) : Set.of(),
                settings.votersWanted(),
                groupId -> new FleetState(),
                this::describe,
                this::connectedControlHosts,
                (identity, batch) ->
                    network.sendToIdentity(identity, Envelope.newBuilder().setConsensus(batch)),
                clock,
                new SplittableRandom(random.nextLong())));
    this.leadership = new LeadershipTracker(consensus, settings.votersWanted(), new Leading());
    consensus.addObserver(leadership);
    this.scheduler =
        new Scheduler(
            loop,
            clock,
            random,
            new RetryLimits(
                settings.retryRatio(), settings.retrySlack(), settings.retryWindowMillis()),
            settings.backendTimeoutMillis(),
            this::connectedGateways,
            network::send);
    this.leader = new LeaderClient(loop, clock, network, leadership::leaderHost);
    this.server = new ControlServer(group, protocol, this::handle);
  }

  /** Starts to listen, to vote and to look for the other hosts. */
  public void start() throws InterruptedException {
    network.start();
    Thread.ofPlatform().daemon(true).name("consensus").start(this::runConsensus);
    server.listen(Addresses.parse(String.valueOf(settings.controlAddress())));
    loop.scheduleAtFixedRate(this::gossip, GOSSIP_MILLIS, GOSSIP_MILLIS, TimeUnit.MILLISECONDS);
    Logger.info("{} takes control calls at {}", settings.name(), settings.controlAddress());
  }

  private void runConsensus() {
    while (true) {
      try {
        consensus.run();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      } catch (Exception e) {
        Logger.error(e, "the consensus thread failed and starts again");
      }
    }
  }

  /** Carries out a planned stop: hands over what this host leads. */
  public void drain() throws InterruptedException {
    Logger.info("{} hands over", settings.name());
    consensus.transferLeadership();
    Thread.sleep(HANDOVER_MILLIS);
  }

  private HostRecord describe() {
    return HostRecord.newBuilder()
        .setName(settings.name())
        .setDataCentre(settings.dataCentre())
        .setPeerAddress(settings.peerAddress())
        .setIncarnation(incarnation)
        .setControl(true)
        .setIdentity(folder.identity())
        .setFormed(consensus.hasReplicas())
        .build();
  }

  private Collection<HostRecord> connectedControlHosts() {
    return network.connected().stream().filter(HostRecord::getControl).toList();
  }

  private Collection<HostRecord> connectedGateways() {
    return network.connected().stream().filter(host -> !host.getControl()).toList();
  }

  /** Tells every host which control hosts there are. */
  private void gossip() {
    tellControlHosts(network.connected());
  }

  private void tellControlHosts(Collection<HostRecord> hosts) {
    KnownHosts.Builder known = KnownHosts.newBuilder().addControlAddresses(settings.peerAddress());
    connectedControlHosts().forEach(control -> known.addControlAddresses(control.getPeerAddress()));
    KnownHosts built = known.build();
    for (HostRecord host : hosts) {
      network.send(host.getName(), Envelope.newBuilder().setKnownHosts(built));
    }
  }

  /** What the consensus thread tells, carried over to the event loop. */
  private final class Leading implements LeadershipTracker.Listener {
    @Override
    public void leads(long term) {
      loop.execute(() -> scheduler.lead(term));
    }

    @Override
    public void catalogApplied(long revision, ByteString document) {
      switch (protocol.catalogs().decode(document.toByteArray())) {
        case Outcome.Failed<Catalog> failed ->
            Logger.error("a catalog that was accepted cannot be read: {}", failed.failure());
        case Outcome.Success<Catalog> success ->
            loop.execute(() -> scheduler.catalogApplied(success.value(), document));
      }
    }
  }

  // ---- control calls ----------------------------------------------------------------------------

  private void handle(ControlRequest call, Consumer<ControlResponse> answer) {
    switch (call) {
      case ControlRequest.Register register ->
          leader.ask(
              LeaderClient.REGISTER,
              register.backend().toByteString(),
              LeaderClient.REGISTRATION_MILLIS,
              answer);
      case ControlRequest.Deregister withdraw ->
          leader.ask(
              LeaderClient.WITHDRAW,
              ByteString.copyFromUtf8(withdraw.id()),
              LeaderClient.REGISTRATION_MILLIS,
              answer);
      case ControlRequest.ReplaceCatalog replace -> replace(replace, answer);
      case ControlRequest.ReadCatalog ignored ->
          leader.ask(LeaderClient.READ_CATALOG, ByteString.EMPTY, LeaderClient.READ_MILLIS, answer);
      case ControlRequest.Invalid invalid ->
          answer.accept(ControlResponse.refused(invalid.status(), invalid.message()));
    }
  }

  private void replace(ControlRequest.ReplaceCatalog replace, Consumer<ControlResponse> answer) {
    switch (protocol.catalogs().decode(replace.document())) {
      case Outcome.Failed<Catalog> failed ->
          answer.accept(ControlResponse.refused(400, failed.failure().sentence()));
      case Outcome.Success<Catalog> success ->
          leader.ask(
              LeaderClient.REPLACE_CATALOG,
              Json.write(
                  new FleetCommand.ReplaceCatalog(success.value().revision(), replace.document())),
              LeaderClient.CHANGE_MILLIS,
              answer);
    }
  }

  /** Answers what another control host, or this one, asks the leader. */
  private void answerAsLeader(HostRecord from, AdminRequest request) {
    Consumer<AdminReply.Builder> reply =
        built ->
            network.send(
                from.getName(),
                Envelope.newBuilder().setAdminReply(built.setRequestId(request.getRequestId())));
    if (!scheduler.leads()) {
      reply.accept(AdminReply.newBuilder().setStatus(LeaderClient.NOT_LEADER));
      return;
    }
    Consumer<Boolean> done =
        accepted ->
            reply.accept(
                AdminReply.newBuilder()
                    .setStatus(accepted ? LeaderClient.OK : LeaderClient.NOT_LEADER));
    switch (request.getPath()) {
      case LeaderClient.REGISTER -> register(request.getJson(), done);
      case LeaderClient.WITHDRAW -> scheduler.withdraw(request.getJson().toStringUtf8(), done);
      case LeaderClient.REPLACE_CATALOG -> replaceAsLeader(request.getJson(), done);
      case LeaderClient.READ_CATALOG -> readAsLeader(reply);
      default -> reply.accept(AdminReply.newBuilder().setStatus(LeaderClient.UNKNOWN));
    }
  }

  private void register(ByteString record, Consumer<Boolean> done) {
    try {
      scheduler.register(BackendRecord.parseFrom(record), done);
    } catch (InvalidProtocolBufferException e) {
      Logger.error("a registration from another host cannot be read: {}", e.getMessage());
      done.accept(false);
    }
  }

  private void replaceAsLeader(ByteString command, Consumer<Boolean> done) {
    if (!leadership.isAtFullStrength()) {
      done.accept(false);
      return;
    }
    consensus.propose(
        GROUP,
        command,
        reply -> {
          boolean applied = reply.getStatus() == CommandStatus.COMMAND_STATUS_APPLIED;
          long revision = applied ? Json.read(reply.getResult(), Long.class) : 0;
          loop.execute(
              () -> {
                if (applied) {
                  scheduler.awaitCatalog(revision, done);
                } else {
                  done.accept(false);
                }
              });
        });
  }

  private void readAsLeader(Consumer<AdminReply.Builder> answer) {
    consensus.propose(
        GROUP,
        Json.write(new FleetCommand.ReadCatalog()),
        reply -> {
          boolean applied = reply.getStatus() == CommandStatus.COMMAND_STATUS_APPLIED;
          AdminReply.Builder built = AdminReply.newBuilder().setStatus(LeaderClient.NOT_LEADER);
          if (applied && consensus.stateMachine(GROUP) instanceof FleetState state) {
            built.setStatus(LeaderClient.OK).setJson(state.catalog().document());
          }
          loop.execute(() -> answer.accept(built));
        });
  }

  // ---- other hosts ------------------------------------------------------------------------------

  @Override
  public void received(HostRecord from, Envelope message) {
    switch (message.getPayloadCase()) {
      case CONSENSUS -> consensus.receive(message.getFromIdentity(), message.getConsensus());
      case KNOWN_HOSTS -> message.getKnownHosts().getControlAddressesList().forEach(network::learn);
      case GATEWAY_STATUS -> scheduler.received(from, message.getGatewayStatus());
      case DISPATCH_REQUESTS -> scheduler.received(from, message.getDispatchRequests());
      case ADMIN_REQUEST -> answerAsLeader(from, message.getAdminRequest());
      case ADMIN_REPLY -> leader.received(message.getAdminReply());
      default -> {}
    }
  }

  @Override
  public void connected(HostRecord host) {
    Logger.info("connected to {}", host.getName());
    if (host.getControl()) {
      loop.execute(this::gossip);
    } else {
      loop.execute(
          () -> {
            tellControlHosts(List.of(host));
            scheduler.gatewayConnected(host);
          });
    }
  }

  @Override
  public void disconnected(HostRecord host) {
    Logger.info("the connection to {} is gone", host.getName());
    if (!host.getControl()) {
      loop.execute(() -> scheduler.gatewayGone(host));
    }
  }
}
