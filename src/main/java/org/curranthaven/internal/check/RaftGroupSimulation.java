package org.curranthaven.internal.check;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.curranthaven.internal.consensus.RaftCore;
import org.curranthaven.internal.consensus.RaftDecision;
import org.curranthaven.internal.consensus.RaftEvent;
import org.curranthaven.internal.consensus.RaftRole;
import org.curranthaven.internal.consensus.RaftTiming;
import org.curranthaven.internal.consensus.StoredState;
import org.curranthaven.internal.consensus.VoterChange;
import org.curranthaven.internal.consensus.VoterSets;
import org.curranthaven.internal.transport.wire.EntryKind;
import org.curranthaven.internal.transport.wire.GroupMessage;
import org.curranthaven.internal.transport.wire.LogEntry;
import org.curranthaven.internal.transport.wire.SnapshotFile;
import org.curranthaven.internal.transport.wire.VoteReply;
import org.curranthaven.internal.transport.wire.Voter;
import org.curranthaven.internal.transport.wire.VoterSet;
import org.jspecify.annotations.Nullable;

/**
 * Runs the replicas of one Raft group through a list of actions in simulated time and checks that
 * each term has one leader, at most one replica holds the lease at a time, logs agree, and no
 * acknowledged command is lost.
 *
 * <p>It only delivers, delays, drops and duplicates messages that the Raft cores send; under {@link
 * InjectedFault#NO_PRE_VOTE} it also grants pre-votes itself. Not thread-safe.
 */
public final class RaftGroupSimulation {
  private static final int GROUP_ID = 1;
  private static final int MAX_MESSAGES_IN_TRANSIT = 400;
  private static final long RECOVERY_TIMEOUT_MILLIS = 60_000;
  private static final int RECOVERY_STEP_MILLIS = 5;

  private final InjectedFault injectedFault;
  private final long seed;
  private final List<Replica> replicas = new ArrayList<>();
  private final List<InTransitMessage> messagesInTransit = new ArrayList<>();
  private final Set<Long> cutLinks = new HashSet<>();
  private final Map<Long, String> leaderByTerm = new HashMap<>();
  private final TreeMap<Long, LogEntry> committedEntries = new TreeMap<>();
  private final Set<String> acknowledgedCommands = new HashSet<>();
  private long nowMillis;
  private long nextCommand = 1;
  private long leaderChanges;

  /** A message that was sent but neither delivered nor dropped. */
  private record InTransitMessage(int from, String fromIdentity, GroupMessage message) {}

  /** A replica with its disk, its clock and the commands it has applied. */
  private final class Replica {
    final int index;
    final double clockRate;
    final long clockOffsetMillis;
    InMemoryDisk disk = new InMemoryDisk();
    String identity;
    int startCount;
    boolean crashOnNextWrite;
    @Nullable RaftCore core;
    List<String> appliedCommands = new ArrayList<>();
    long appliedIndex;

    Replica(int index, SplittableRandom random) {
      this.index = index;
      this.identity = "disk-" + index + "-0";
      double maxClockDrift = injectedFault == InjectedFault.CLOCKS_BEYOND_BOUND ? 0.6 : 0.02;
      this.clockRate = 1 + maxClockDrift * (2 * random.nextDouble() - 1);
      this.clockOffsetMillis = random.nextInt(1_000_000);
    }

    long clockMillis() {
      return clockOffsetMillis + (long) (nowMillis * clockRate);
    }

    void start() {
      startCount++;
      StoredState stored = disk.storedState();
      appliedCommands = parseCommands(stored.snapshot().getState());
      appliedIndex = stored.snapshot().getLastIndex();
      core =
          new RaftCore(
              GROUP_ID,
              identity,
              RaftTiming.standard(),
              stored,
              new SplittableRandom(seed * 31 + index * 1_009L + startCount),
              clockMillis());
    }

    Voter voter() {
      return Voter.newBuilder().setIdentity(identity).setHost("host-" + index).build();
    }
  }

  private RaftGroupSimulation(long seed, int replicaCount, InjectedFault injectedFault) {
    this.seed = seed;
    this.injectedFault = injectedFault;
    SplittableRandom random = new SplittableRandom(seed);
    for (int i = 0; i < replicaCount; i++) {
      replicas.add(new Replica(i, random));
    }
    bootstrap();
    replicas.forEach(Replica::start);
  }

  /** Writes the bootstrap entry, with all replicas as voters, to every disk. */
  private void bootstrap() {
    VoterSet.Builder voters = VoterSet.newBuilder();
    replicas.forEach(replica -> voters.addVoters(replica.voter()));
    LogEntry bootstrapEntry = StoredState.bootstrapEntry(voters.build());
    for (Replica replica : replicas) {
      replica.disk.persist(new RaftDecision.AppendEntries(List.of(bootstrapEntry)));
      replica.disk.persist(new RaftDecision.SaveHardState(1, ""));
    }
  }

  /**
   * Figures of a run in which every invariant held.
   *
   * @param leaderChanges number of times that a replica became leader
   * @param acknowledged number of commands acknowledged to the replica that proposed them
   */
  public record Summary(long leaderChanges, int acknowledged) {}

  /**
   * Runs the actions, then restores all links, restarts stopped replicas and waits until all
   * replicas agree.
   *
   * @throws InvariantViolation if an invariant does not hold
   */
  public static Summary run(
      long seed, int replicaCount, List<Action> actions, InjectedFault injectedFault) {
    RaftGroupSimulation simulation = new RaftGroupSimulation(seed, replicaCount, injectedFault);
    for (Action action : actions) {
      simulation.perform(action);
      simulation.checkSingleLease();
    }
    simulation.repairAndAwaitAgreement();
    return new Summary(simulation.leaderChanges, simulation.acknowledgedCommands.size());
  }

  // ---- actions ----------------------------------------------------------------------------------

  private void perform(Action action) {
    switch (action) {
      case Action.Deliver deliver -> deliver(deliver.message(), true);
      case Action.Repeat repeat -> deliver(repeat.message(), false);
      case Action.Drop drop -> {
        if (!messagesInTransit.isEmpty()) {
          messagesInTransit.remove(drop.message() % messagesInTransit.size());
        }
      }
      case Action.Advance advance -> advance(advance.millis());
      case Action.Propose propose -> propose(replicas.get(propose.replica() % replicas.size()));
      case Action.Crash crash -> crash(replicas.get(crash.replica() % replicas.size()), crash);
      case Action.Restart restart -> restart(replicas.get(restart.replica() % replicas.size()));
      case Action.Cut cut ->
          cutLinks.add(link(cut.from() % replicas.size(), cut.to() % replicas.size()));
      case Action.Isolate isolate -> isolate(isolate.replica() % replicas.size());
      case Action.Heal heal -> cutLinks.clear();
      case Action.Wipe wipe -> wipeDisk(replicas.get(wipe.replica() % replicas.size()));
      case Action.Transfer transfer ->
          handle(
              replicas.get(transfer.replica() % replicas.size()),
              new RaftEvent.TransferLeadership());
      case Action.Snapshot snapshot ->
          takeSnapshot(replicas.get(snapshot.replica() % replicas.size()));
    }
  }

  private static long link(int from, int to) {
    return from * 1_000L + to;
  }

  private void isolate(int index) {
    for (Replica other : replicas) {
      cutLinks.add(link(index, other.index));
      cutLinks.add(link(other.index, index));
    }
  }

  /** Delivers a message in transit; unless {@code remove} is set, a duplicate stays in transit. */
  private void deliver(int pick, boolean remove) {
    if (messagesInTransit.isEmpty()) {
      return;
    }
    int position = pick % messagesInTransit.size();
    InTransitMessage inTransit =
        remove ? messagesInTransit.remove(position) : messagesInTransit.get(position);
    for (Replica replica : replicas) {
      boolean isRecipient = replica.identity.equals(inTransit.message().getToIdentity());
      if (isRecipient && !cutLinks.contains(link(inTransit.from(), replica.index))) {
        handle(replica, new RaftEvent.Received(inTransit.fromIdentity(), inTransit.message()));
      }
    }
  }

  private void advance(int millis) {
    nowMillis += millis;
    for (Replica replica : replicas) {
      handle(replica, new RaftEvent.Tick());
      proposeVoterChange(replica);
    }
  }

  private void propose(Replica replica) {
    long command = nextCommand++;
    handle(replica, new RaftEvent.Propose(command, ByteString.copyFromUtf8("c" + command)));
  }

  private void crash(Replica replica, Action.Crash crash) {
    if (crash.loseBatch() && replica.core != null) {
      replica.crashOnNextWrite = true;
    } else {
      replica.core = null;
    }
  }

  private void restart(Replica replica) {
    if (replica.core == null) {
      if (injectedFault == InjectedFault.FORGET_VOTE_ON_RESTART) {
        replica.disk.eraseVote();
      }
      replica.start();
    }
  }

  /**
   * Empties a replica's disk and restarts the replica, under a new identity unless the injected
   * fault keeps the old one.
   *
   * <p>Does nothing while a replica is stopped, or while one still counts the former identity of an
   * emptied disk as a voter.
   */
  private void wipeDisk(Replica replica) {
    Set<String> currentIdentities = new HashSet<>();
    replicas.forEach(other -> currentIdentities.add(other.identity));
    for (Replica other : replicas) {
      RaftCore core = other.core;
      if (core == null || !currentIdentities.containsAll(VoterSets.voterIds(core.voters()))) {
        return;
      }
    }
    replica.disk = new InMemoryDisk();
    if (injectedFault != InjectedFault.VOTE_ON_WIPED_DISK) {
      replica.identity = "disk-" + replica.index + "-" + replica.startCount;
    }
    replica.start();
  }

  private void takeSnapshot(Replica replica) {
    if (replica.core != null && replica.appliedIndex > 0) {
      ByteString state = ByteString.copyFromUtf8(String.join(",", replica.appliedCommands));
      handle(replica, new RaftEvent.SnapshotTaken(replica.appliedIndex, state));
    }
  }

  private void proposeVoterChange(Replica replica) {
    RaftCore core = replica.core;
    if (core == null || core.role() != RaftRole.LEADER || !core.votersCommitted()) {
      return;
    }
    List<Voter> reachableVoters = new ArrayList<>();
    for (Replica other : replicas) {
      if (other.core != null && !cutLinks.contains(link(replica.index, other.index))) {
        reachableVoters.add(other.voter());
      }
    }
    VoterChange.next(
            core, replicas.size(), replica.identity, reachableVoters, replica.clockMillis())
        .ifPresent(voters -> handle(replica, new RaftEvent.ProposeVoters(voters)));
  }

  // ---- events and decisions ---------------------------------------------------------------------

  private void handle(Replica replica, RaftEvent event) {
    RaftCore core = replica.core;
    if (core == null) {
      return;
    }
    List<RaftDecision> decisions = new ArrayList<>(core.handle(event, replica.clockMillis()));
    decisions.addAll(core.handle(new RaftEvent.BatchEnded(), replica.clockMillis()));
    boolean writesToDisk = decisions.stream().anyMatch(RaftDecision.Persist.class::isInstance);
    boolean writeLost = writesToDisk && replica.crashOnNextWrite;
    if (writeLost) {
      replica.crashOnNextWrite = false;
      replica.core = null;
      if (injectedFault != InjectedFault.ACKNOWLEDGE_BEFORE_SYNC) {
        return;
      }
    }
    for (RaftDecision decision : decisions) {
      if (decision instanceof RaftDecision.Persist persist && !writeLost) {
        replica.disk.persist(persist);
      }
    }
    decisions.forEach(decision -> execute(replica, decision));
  }

  private void execute(Replica replica, RaftDecision decision) {
    switch (decision) {
      case RaftDecision.Send send -> send(replica, send);
      case RaftDecision.Apply apply -> recordApplied(replica, apply);
      case RaftDecision.RestoreState restore -> restoreState(replica, restore.snapshot());
      case RaftDecision.RoleChanged change -> {
        if (change.role() == RaftRole.LEADER) {
          leaderChanges++;
          String previousLeader = leaderByTerm.putIfAbsent(change.term(), replica.identity);
          if (previousLeader != null && !previousLeader.equals(replica.identity)) {
            throw new InvariantViolation(
                "more than one leader in term %d: %s and %s"
                    .formatted(change.term(), previousLeader, replica.identity));
          }
        }
      }
      default -> {}
    }
  }

  private void send(Replica replica, RaftDecision.Send send) {
    GroupMessage message = send.message();
    if (injectedFault == InjectedFault.NO_PRE_VOTE && isPreVoteRequest(message)) {
      GroupMessage grantedPreVote =
          GroupMessage.newBuilder()
              .setTerm(message.getTerm())
              .setToIdentity(replica.identity)
              .setVoteReply(VoteReply.newBuilder().setPreVote(true).setGranted(true))
              .build();
      messagesInTransit.add(new InTransitMessage(replica.index, send.toIdentity(), grantedPreVote));
      return;
    }
    messagesInTransit.add(new InTransitMessage(replica.index, replica.identity, message));
    if (messagesInTransit.size() > MAX_MESSAGES_IN_TRANSIT) {
      messagesInTransit.removeFirst();
    }
  }

  private static boolean isPreVoteRequest(GroupMessage message) {
    return message.hasVoteRequest() && message.getVoteRequest().getPreVote();
  }

  private void recordApplied(Replica replica, RaftDecision.Apply apply) {
    LogEntry entry = apply.entry();
    if (entry.getIndex() != replica.appliedIndex + 1) {
      throw new InvariantViolation(
          "%s applied entry %d after entry %d; entries must be applied in order"
              .formatted(replica.identity, entry.getIndex(), replica.appliedIndex));
    }
    replica.appliedIndex = entry.getIndex();
    LogEntry committed = committedEntries.putIfAbsent(entry.getIndex(), entry);
    if (committed != null && !committed.equals(entry)) {
      throw new InvariantViolation(
          "logs differ: entry %d has term %d on one replica and term %d on %s"
              .formatted(entry.getIndex(), committed.getTerm(), entry.getTerm(), replica.identity));
    }
    if (entry.getKind() == EntryKind.ENTRY_KIND_COMMAND) {
      String command = entry.getData().toStringUtf8();
      replica.appliedCommands.add(command);
      if (apply.requestId() != 0) {
        acknowledgedCommands.add(command);
      }
    }
  }

  private static void restoreState(Replica replica, SnapshotFile snapshot) {
    replica.appliedCommands = parseCommands(snapshot.getState());
    replica.appliedIndex = snapshot.getLastIndex();
  }

  private static List<String> parseCommands(ByteString state) {
    return state.isEmpty()
        ? new ArrayList<>()
        : new ArrayList<>(List.of(state.toStringUtf8().split(",")));
  }

  /** Throws if more than one replica considers itself the lease holder. */
  private void checkSingleLease() {
    String holder = "";
    for (Replica replica : replicas) {
      if (replica.core != null && replica.core.hasLease(replica.clockMillis())) {
        if (!holder.isEmpty()) {
          throw new InvariantViolation(
              "more than one lease at a time: held by " + holder + " and " + replica.identity);
        }
        holder = replica.identity;
      }
    }
  }

  // ---- recovery and final checks ----------------------------------------------------------------

  /** Restores links and replicas, then fails unless all replicas agree within the timeout. */
  private void repairAndAwaitAgreement() {
    cutLinks.clear();
    replicas.forEach(replica -> replica.crashOnNextWrite = false);
    replicas.forEach(this::restart);
    long deadlineMillis = nowMillis + RECOVERY_TIMEOUT_MILLIS;
    while (nowMillis < deadlineMillis && !haveAgreed()) {
      advance(RECOVERY_STEP_MILLIS);
      checkSingleLease();
      int messageCount = messagesInTransit.size();
      for (int i = 0; i < messageCount && !messagesInTransit.isEmpty(); i++) {
        deliver(0, true);
      }
      if (nowMillis % 1_000 < RECOVERY_STEP_MILLIS) {
        replicas.stream()
            .filter(replica -> replica.core != null && replica.core.role() == RaftRole.LEADER)
            .findFirst()
            .ifPresent(this::propose);
      }
    }
    if (!haveAgreed()) {
      throw new InvariantViolation(
          "the group did not recover: no lease holder or no agreement 60 s after all links were"
              + " restored and all replicas restarted: "
              + describeReplicas());
    }
    Set<String> lostCommands = new HashSet<>(acknowledgedCommands);
    lostCommands.removeAll(replicas.getFirst().appliedCommands);
    if (!lostCommands.isEmpty()) {
      throw new InvariantViolation("acknowledged commands were lost: " + lostCommands);
    }
  }

  private String describeReplicas() {
    StringBuilder text = new StringBuilder();
    for (Replica replica : replicas) {
      RaftCore core = replica.core;
      if (core != null) {
        text.append(
            "\n  %s: %s in term %d, log to %d, committed %d, applied %d, snapshot %d, voters %s"
                .formatted(
                    replica.identity,
                    core.role(),
                    core.term(),
                    core.lastIndex(),
                    core.commitIndex(),
                    replica.appliedIndex,
                    core.snapshotIndex(),
                    VoterSets.voterIds(core.voters())));
      }
    }
    return text.toString();
  }

  private boolean haveAgreed() {
    boolean hasLeaseHolder =
        replicas.stream()
            .anyMatch(
                replica -> replica.core != null && replica.core.hasLease(replica.clockMillis()));
    Set<List<String>> distinctStates = new HashSet<>();
    replicas.forEach(replica -> distinctStates.add(replica.appliedCommands));
    return hasLeaseHolder
        && distinctStates.size() == 1
        && replicas.getFirst().appliedCommands.containsAll(acknowledgedCommands);
  }
}
