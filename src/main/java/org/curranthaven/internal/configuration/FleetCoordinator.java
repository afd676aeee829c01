package org.curranthaven.internal.configuration;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.curranthaven.internal.consensus.ConsensusLoop;
import org.curranthaven.internal.consensus.GroupObserver;
import org.curranthaven.internal.consensus.RaftCore;
import org.curranthaven.internal.consensus.RaftDecision;
import org.curranthaven.internal.consensus.RaftRole;
import org.curranthaven.internal.consensus.VoterSets;
import org.curranthaven.internal.settings.Json;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.PeerNetwork;
import org.curranthaven.internal.transport.wire.CommandReply;
import org.curranthaven.internal.transport.wire.CommandStatus;
import org.curranthaven.internal.transport.wire.ConfigurationDelta;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.FreshnessGrant;
import org.curranthaven.internal.transport.wire.FreshnessRequest;
import org.curranthaven.internal.transport.wire.HostRecord;
import org.curranthaven.internal.transport.wire.PeerLease;
import org.curranthaven.internal.transport.wire.VoterFreshnessReply;

/**
 * Grants freshness leases and sends the configuration to hosts, and completes an operator's change
 * once it is active on every host; runs on control hosts. Confined to the consensus thread, except
 * for methods marked as thread-safe.
 */
public final class FleetCoordinator implements GroupObserver {
  /** Id of the consensus group that holds the configuration. */
  public static final int GROUP_ID = 0;

  /** Time without a request after which a host is no longer listed, in milliseconds. */
  static final long HOST_TIMEOUT_MILLIS = 10_000;

  private final ConsensusLoop consensus;
  private final PeerNetwork network;
  private final Clock clock;
  private final AcceptanceCore acceptance = new AcceptanceCore();
  private final Map<String, KnownHost> hosts = new HashMap<>();
  private final Map<Long, PendingChange> pendingChanges = new HashMap<>();
  private final Map<String, Long> leasesGranted = new ConcurrentHashMap<>();
  private long nextPendingId = 1;
  private long lastAppliedRevision;
  private ByteString configurationJson = ByteString.EMPTY;
  private long configurationJsonRevision;

  private record KnownHost(HostRecord host, long revision, long lastRequestMillis) {}

  private record PendingChange(ChangeResult result, CompletableFuture<ChangeOutcome> future) {}

  /** Outcome of a change. */
  public sealed interface ChangeOutcome {
    /** The change has a result; if committed, it is active on every host that may serve. */
    record Completed(ChangeResult result) implements ChangeOutcome {}

    /** This host is not the leader; {@code leaderHost} may be, or is empty if unknown. */
    record NotLeader(String leaderHost) implements ChangeOutcome {}

    /** The change may or may not take effect; sending it again with its id tells which. */
    record Unknown() implements ChangeOutcome {}
  }

  /** Creates the coordinator of a control host. */
  public FleetCoordinator(ConsensusLoop consensus, PeerNetwork network, Clock clock) {
    this.consensus = consensus;
    this.network = network;
    this.clock = clock;
  }

  /** Returns the unexpired leases that this host has granted as a voter. Thread-safe. */
  public List<PeerLease> leasesGranted(long nowMillis) {
    leasesGranted.values().removeIf(endMillis -> endMillis <= nowMillis);
    return leasesGranted.entrySet().stream()
        .map(
            lease ->
                PeerLease.newBuilder()
                    .setHost(lease.getKey())
                    .setRemainingMillis(lease.getValue() - nowMillis)
                    .build())
        .toList();
  }

  /** Handles a host's freshness request. Thread-safe. */
  public void receive(HostRecord from, FreshnessRequest request) {
    consensus.execute(() -> handleRequest(from, request, clock.nowMillis()));
  }

  /** Proposes a change. The future completes on the consensus thread. Thread-safe. */
  public CompletableFuture<ChangeOutcome> change(ConfigurationChange change) {
    CompletableFuture<ChangeOutcome> future = new CompletableFuture<>();
    ByteString command = Json.write(new FleetCommand.Change(change));
    consensus.propose(GROUP_ID, command, reply -> handleCommandReply(reply, future));
    return future;
  }

  /**
   * Passes the state of group 0 to {@code reader} on the consensus thread, if this host has a
   * replica. Thread-safe.
   */
  public void withState(Consumer<FleetState> reader) {
    consensus.execute(
        () -> {
          if (consensus.stateMachine(GROUP_ID) instanceof FleetState state) {
            reader.accept(state);
          }
        });
  }

  @Override
  public void applied(int groupId, long index, long nowMillis) {
    if (groupId != GROUP_ID || !(consensus.stateMachine(GROUP_ID) instanceof FleetState state)) {
      return;
    }
    if (state.current().revision() > lastAppliedRevision) {
      lastAppliedRevision = state.current().revision();
      if (isLeader(nowMillis)) {
        pushConfiguration(state);
      }
    }
  }

  @Override
  public void roleChanged(int groupId, RaftDecision.RoleChanged change, long nowMillis) {
    if (groupId != GROUP_ID) {
      return;
    }
    if (change.role() == RaftRole.LEADER) {
      acceptance.leadershipStarted(nowMillis);
      return;
    }
    for (long pendingId : acceptance.leadershipEnded()) {
      PendingChange ended = pendingChanges.remove(pendingId);
      if (ended != null) {
        ended.future().complete(new ChangeOutcome.Unknown());
      }
    }
  }

  @Override
  public void tick(long nowMillis) {
    RaftCore core = consensus.core(GROUP_ID);
    if (core == null || !core.hasLease(nowMillis)) {
      return;
    }
    if (core.votersCommitted()) {
      acceptance.setVoters(VoterSets.voterIds(core.voters()), nowMillis);
    }
    hosts.values().removeIf(host -> nowMillis - host.lastRequestMillis() > HOST_TIMEOUT_MILLIS);
    completeAccepted(nowMillis);
  }

  /**
   * Returns the active revision of each host that sent a freshness request within the last {@link
   * #HOST_TIMEOUT_MILLIS}.
   */
  public Map<String, Long> hostRevisions() {
    Map<String, Long> result = new java.util.TreeMap<>();
    hosts.forEach((name, host) -> result.put(name, host.revision()));
    return result;
  }

  private boolean isLeader(long nowMillis) {
    RaftCore core = consensus.core(GROUP_ID);
    return core != null && core.hasLease(nowMillis);
  }

  private void handleRequest(HostRecord from, FreshnessRequest request, long nowMillis) {
    RaftCore core = consensus.core(GROUP_ID);
    if (core == null || !(consensus.stateMachine(GROUP_ID) instanceof FleetState state)) {
      return;
    }
    if (core.hasLease(nowMillis)) {
      replyAsLeader(from, request, state, nowMillis);
    } else {
      replyAsVoter(from, request, core, state, nowMillis);
    }
  }

  private void replyAsLeader(
      HostRecord from, FreshnessRequest request, FleetState state, long nowMillis) {
    long revision = state.current().revision();
    hosts.put(from.getName(), new KnownHost(request.getHost(), request.getRevision(), nowMillis));
    for (PeerLease lease : request.getPeerLeasesList()) {
      // The report does not give the leases' revisions, so each lease counts as granted for a
      // revision older than the voter's current one.
      acceptance.leaseGrantedByVoter(
          lease.getHost(), request.getRevision() - 1, lease.getRemainingMillis(), nowMillis);
    }
    if (!from.getIdentity().isEmpty()) {
      acceptance.voterReported(from.getIdentity(), request.getRevision());
    }
    boolean granted =
        acceptance.requestLease(from.getName(), request.getRevision(), revision, nowMillis);
    FreshnessGrant.Builder grant =
        FreshnessGrant.newBuilder()
            .setRevision(revision)
            .setEchoedSentAtMillis(request.getSentAtMillis())
            .setGranted(granted);
    addMissingRevisions(grant, state, request.getRevision());
    hosts.values().forEach(host -> grant.addHosts(host.host()));
    network.send(from.getName(), Envelope.newBuilder().setFreshnessGrant(grant));
    completeAccepted(nowMillis);
  }

  private void replyAsVoter(
      HostRecord from, FreshnessRequest request, RaftCore core, FleetState state, long nowMillis) {
    long revision = state.current().revision();
    boolean voter = VoterSets.isVoter(core.voters(), consensus.identity());
    boolean granted =
        voter
            && consensus.isFullyApplied(GROUP_ID)
            && request.getRevision() == revision
            && revision > 0;
    if (granted) {
      leasesGranted.merge(from.getName(), nowMillis + FreshnessCore.LEASE_MILLIS, Math::max);
    }
    VoterFreshnessReply reply =
        VoterFreshnessReply.newBuilder()
            .setRevision(revision)
            .setEchoedSentAtMillis(request.getSentAtMillis())
            .setGranted(granted)
            .setWitnessSetVersion(core.votersIndex())
            .setWitnessSetSize(core.voters().getVotersCount())
            .build();
    network.send(from.getName(), Envelope.newBuilder().setRevisionAnswer(reply));
  }

  private ByteString currentConfigurationJson(FleetState state) {
    if (configurationJsonRevision != state.current().revision()) {
      configurationJson = Json.write(state.current());
      configurationJsonRevision = state.current().revision();
    }
    return configurationJson;
  }

  private void addMissingRevisions(
      FreshnessGrant.Builder grant, FleetState state, long hostRevision) {
    if (hostRevision >= state.current().revision()) {
      return;
    }
    List<ConfigurationDelta> deltas = state.configuration().deltasAfter(hostRevision);
    if (deltas.isEmpty()) {
      grant.setConfiguration(currentConfigurationJson(state));
    } else {
      grant.addAllDeltas(deltas);
    }
  }

  /**
   * Sends the latest change to every host. A host that misses earlier revisions gets them with the
   * reply to its next freshness request.
   */
  private void pushConfiguration(FleetState state) {
    long revision = state.current().revision();
    FreshnessGrant push =
        FreshnessGrant.newBuilder()
            .setRevision(revision)
            .addAllDeltas(state.configuration().deltasAfter(revision - 1))
            .build();
    for (HostRecord host : network.connectedHosts()) {
      network.send(host.getName(), Envelope.newBuilder().setFreshnessGrant(push));
    }
    network.send(network.selfName(), Envelope.newBuilder().setFreshnessGrant(push));
  }

  private void handleCommandReply(CommandReply reply, CompletableFuture<ChangeOutcome> future) {
    if (reply.getStatus() == CommandStatus.COMMAND_STATUS_APPLIED) {
      ChangeResult result = Json.read(reply.getResult(), ChangeResult.class);
      if (result instanceof ChangeResult.Committed committed) {
        long pendingId = nextPendingId++;
        pendingChanges.put(pendingId, new PendingChange(result, future));
        acceptance.awaitActivation(committed.revision(), pendingId);
      } else {
        future.complete(new ChangeOutcome.Completed(result));
      }
    } else if (reply.getStatus() == CommandStatus.COMMAND_STATUS_UNKNOWN) {
      future.complete(new ChangeOutcome.Unknown());
    } else {
      future.complete(new ChangeOutcome.NotLeader(reply.getLeaderHost()));
    }
  }

  private void completeAccepted(long nowMillis) {
    for (long pendingId : acceptance.drainAccepted(nowMillis)) {
      PendingChange accepted = pendingChanges.remove(pendingId);
      if (accepted != null) {
        accepted.future().complete(new ChangeOutcome.Completed(accepted.result()));
      }
    }
  }
}
