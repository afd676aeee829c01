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
 * Runs the replicas of one group through a list of actions and checks the invariants of the log
 * after each: one leader a term, at most one lease at a time, equal logs, nothing acknowledged
 * lost.
 *
 * <p>It delivers, holds, drops and repeats the messages that the cores emit, and no more.
 */
public final class GroupRun {
  private static final int GROUP_ID = 1;
  private static final int MAX_UNDER_WAY = 400;
  private static final long QUIET_MILLIS = 60_000;
  private static final int QUIET_STEP_MILLIS = 5;

  private final InjectedFault injectedFault;
  private final long seed;
  private final List<Node> nodes = new ArrayList<>();
  private final List<UnderWay> underWay = new ArrayList<>();
  private final Set<Long> cuts = new HashSet<>();
  private final Map<Long, String> leaderByTerm = new HashMap<>();
  private final TreeMap<Long, LogEntry> committed = new TreeMap<>();
  private final Set<String> acknowledged = new HashSet<>();
  private long nowMillis;
  private long nextCommand = 1;
  private long leaderChanges;

  private record UnderWay(int from, String fromIdentity, GroupMessage message) {}

  /** One replica with its disk, clock and state machine. */
  private final class Node {
    final int place;
    final double clockRate;
    final long clockOffsetMillis;
    MemoryDisk disk = new MemoryDisk();
    String identity;
    int starts;
    boolean loseNextBatch;
    @Nullable RaftCore core;
    List<String> applied = new ArrayList<>();
    long appliedIndex;

    Node(int place, SplittableRandom random) {
      this.place = place;
      this.identity = "disk-" + place + "-0";
      double spread = injectedFault == InjectedFault.CLOCKS_BEYOND_BOUND ? 0.6 : 0.02;
      this.clockRate = 1 + spread * (2 * random.nextDouble() - 1);
      this.clockOffsetMillis = random.nextInt(1_000_000);
    }

    long clock() {
      return clockOffsetMillis + (long) (nowMillis * clockRate);
    }

    void start() {
      starts++;
      StoredState stored = disk.state();
      applied = parse(stored.snapshot().getState());
      appliedIndex = stored.snapshot().getLastIndex();
      core =
          new RaftCore(
              GROUP_ID,
              identity,
              RaftTiming.standard(),
              stored,
              new SplittableRandom(seed * 31 + place * 1_009L + starts),
              clock());
    }

    Voter voter() {
      return Voter.newBuilder().setIdentity(identity).setHost("host-" + place).build();
    }
  }

  private GroupRun(long seed, int replicas, InjectedFault breakage) {
    this.seed = seed;
    this.injectedFault = breakage;
    SplittableRandom random = new SplittableRandom(seed);
    for (int i = 0; i < replicas; i++) {
      nodes.add(new Node(i, random));
    }
    found();
    nodes.forEach(Node::start);
  }

  private void found() {
    VoterSet.Builder voters = VoterSet.newBuilder();
    nodes.forEach(node -> voters.addVoters(node.voter()));
    LogEntry founding = StoredState.bootstrapEntry(voters.build());
    for (Node node : nodes) {
      node.disk.persist(new RaftDecision.AppendEntries(List.of(founding)));
      node.disk.persist(new RaftDecision.SaveHardState(1, ""));
    }
  }

  /**
   * What a run showed.
   *
   * @param leaderChanges how often a replica became leader
   * @param acknowledged commands acknowledged to those who proposed them
   */
  public record Summary(long leaderChanges, int acknowledged) {}

  /**
   * Runs the actions, then mends everything and waits until all replicas agree.
   *
   * @throws Violation if an invariant does not hold
   */
  public static Summary run(long seed, int replicas, List<Action> actions, InjectedFault breakage) {
    GroupRun run = new GroupRun(seed, replicas, breakage);
    for (Action action : actions) {
      run.act(action);
      run.checkLeases();
    }
    run.settle();
    return new Summary(run.leaderChanges, run.acknowledged.size());
  }

  // ---- actions ----------------------------------------------------------------------------------

  private void act(Action action) {
    switch (action) {
      case Action.Deliver deliver -> deliver(deliver.message(), true);
      case Action.Repeat repeat -> deliver(repeat.message(), false);
      case Action.Drop drop -> {
        if (!underWay.isEmpty()) {
          underWay.remove(drop.message() % underWay.size());
        }
      }
      case Action.Advance advance -> advance(advance.millis());
      case Action.Propose propose -> propose(nodes.get(propose.replica() % nodes.size()));
      case Action.Crash crash -> crash(nodes.get(crash.replica() % nodes.size()), crash);
      case Action.Restart restart -> restart(nodes.get(restart.replica() % nodes.size()));
      case Action.Cut cut -> cuts.add(link(cut.from() % nodes.size(), cut.to() % nodes.size()));
      case Action.Isolate isolate -> isolate(isolate.replica() % nodes.size());
      case Action.Heal heal -> cuts.clear();
      case Action.Wipe wipe -> wipe(nodes.get(wipe.replica() % nodes.size()));
      case Action.Transfer transfer ->
          handle(nodes.get(transfer.replica() % nodes.size()), new RaftEvent.TransferLeadership());
      case Action.Snapshot snapshot -> snapshot(nodes.get(snapshot.replica() % nodes.size()));
    }
  }

  private static long link(int from, int to) {
    return from * 1_000L + to;
  }

  private void isolate(int place) {
    for (Node other : nodes) {
      cuts.add(link(place, other.place));
      cuts.add(link(other.place, place));
    }
  }

  private void deliver(int pick, boolean remove) {
    if (underWay.isEmpty()) {
      return;
    }
    int position = pick % underWay.size();
    UnderWay message = remove ? underWay.remove(position) : underWay.get(position);
    for (Node node : nodes) {
      boolean addressed = node.identity.equals(message.message().getToIdentity());
      if (addressed && !cuts.contains(link(message.from(), node.place))) {
        handle(node, new RaftEvent.Received(message.fromIdentity(), message.message()));
      }
    }
  }

  private void advance(int millis) {
    nowMillis += millis;
    for (Node node : nodes) {
      handle(node, new RaftEvent.Tick());
      changeVoters(node);
    }
  }

  private void propose(Node node) {
    long command = nextCommand++;
    handle(node, new RaftEvent.Propose(command, ByteString.copyFromUtf8("c" + command)));
  }

  private void crash(Node node, Action.Crash crash) {
    if (crash.loseBatch() && node.core != null) {
      node.loseNextBatch = true;
    } else {
      node.core = null;
    }
  }

  private void restart(Node node) {
    if (node.core == null) {
      if (injectedFault == InjectedFault.FORGET_VOTE_ON_RESTART) {
        node.disk.forgetVote();
      }
      node.start();
    }
  }

  /** Empties a disk, unless another one was emptied and still counts as a voter somewhere. */
  private void wipe(Node node) {
    Set<String> present = new HashSet<>();
    nodes.forEach(other -> present.add(other.identity));
    for (Node other : nodes) {
      RaftCore core = other.core;
      if (core == null || !present.containsAll(VoterSets.voterIds(core.voters()))) {
        return;
      }
    }
    node.disk = new MemoryDisk();
    if (injectedFault != InjectedFault.VOTE_ON_WIPED_DISK) {
      node.identity = "disk-" + node.place + "-" + node.starts;
    }
    node.start();
  }

  private void snapshot(Node node) {
    if (node.core != null && node.appliedIndex > 0) {
      ByteString state = ByteString.copyFromUtf8(String.join(",", node.applied));
      handle(node, new RaftEvent.SnapshotTaken(node.appliedIndex, state));
    }
  }

  private void changeVoters(Node node) {
    RaftCore core = node.core;
    if (core == null || core.role() != RaftRole.LEADER || !core.votersCommitted()) {
      return;
    }
    List<Voter> alive = new ArrayList<>();
    for (Node other : nodes) {
      if (other.core != null && !cuts.contains(link(node.place, other.place))) {
        alive.add(other.voter());
      }
    }
    VoterChange.next(core, nodes.size(), node.identity, alive, node.clock())
        .ifPresent(set -> handle(node, new RaftEvent.ProposeVoters(set)));
  }

  // ---- replicas ---------------------------------------------------------------------------------

  private void handle(Node node, RaftEvent event) {
    RaftCore core = node.core;
    if (core == null) {
      return;
    }
    List<RaftDecision> decisions = new ArrayList<>(core.handle(event, node.clock()));
    decisions.addAll(core.handle(new RaftEvent.BatchEnded(), node.clock()));
    boolean writes = decisions.stream().anyMatch(RaftDecision.Persist.class::isInstance);
    boolean lost = writes && node.loseNextBatch;
    if (lost) {
      node.loseNextBatch = false;
      node.core = null;
      if (injectedFault != InjectedFault.ACKNOWLEDGE_BEFORE_SYNC) {
        return;
      }
    }
    for (RaftDecision decision : decisions) {
      if (decision instanceof RaftDecision.Persist persist && !lost) {
        node.disk.persist(persist);
      }
    }
    decisions.forEach(decision -> carryOut(node, decision));
  }

  private void carryOut(Node node, RaftDecision decision) {
    switch (decision) {
      case RaftDecision.Send send -> send(node, send);
      case RaftDecision.Apply apply -> applied(node, apply);
      case RaftDecision.RestoreState restore -> restored(node, restore.snapshot());
      case RaftDecision.RoleChanged change -> {
        if (change.role() == RaftRole.LEADER) {
          leaderChanges++;
          String other = leaderByTerm.putIfAbsent(change.term(), node.identity);
          if (other != null && !other.equals(node.identity)) {
            throw new Violation(
                "one leader a term: " + other + " and " + node.identity + " in " + change.term());
          }
        }
      }
      default -> {}
    }
  }

  private void send(Node node, RaftDecision.Send send) {
    GroupMessage message = send.message();
    if (injectedFault == InjectedFault.NO_PRE_VOTE && isPreVoteRequest(message)) {
      GroupMessage granted =
          GroupMessage.newBuilder()
              .setTerm(message.getTerm())
              .setToIdentity(node.identity)
              .setVoteReply(VoteReply.newBuilder().setPreVote(true).setGranted(true))
              .build();
      underWay.add(new UnderWay(node.place, send.toIdentity(), granted));
      return;
    }
    underWay.add(new UnderWay(node.place, node.identity, message));
    if (underWay.size() > MAX_UNDER_WAY) {
      underWay.removeFirst();
    }
  }

  private static boolean isPreVoteRequest(GroupMessage message) {
    return message.hasVoteRequest() && message.getVoteRequest().getPreVote();
  }

  private void applied(Node node, RaftDecision.Apply apply) {
    LogEntry entry = apply.entry();
    if (entry.getIndex() != node.appliedIndex + 1) {
      throw new Violation(
          "entries are applied in order: " + entry.getIndex() + " after " + node.appliedIndex);
    }
    node.appliedIndex = entry.getIndex();
    LogEntry known = committed.putIfAbsent(entry.getIndex(), entry);
    if (known != null && !known.equals(entry)) {
      throw new Violation(
          "logs agree: index %d holds term %d on one replica and term %d on %s"
              .formatted(entry.getIndex(), known.getTerm(), entry.getTerm(), node.identity));
    }
    if (entry.getKind() == EntryKind.ENTRY_KIND_COMMAND) {
      String command = entry.getData().toStringUtf8();
      node.applied.add(command);
      if (apply.requestId() != 0) {
        acknowledged.add(command);
      }
    }
  }

  private static void restored(Node node, SnapshotFile snapshot) {
    node.applied = parse(snapshot.getState());
    node.appliedIndex = snapshot.getLastIndex();
  }

  private static List<String> parse(ByteString state) {
    return state.isEmpty()
        ? new ArrayList<>()
        : new ArrayList<>(List.of(state.toStringUtf8().split(",")));
  }

  private void checkLeases() {
    String holder = "";
    for (Node node : nodes) {
      if (node.core != null && node.core.hasLease(node.clock())) {
        if (!holder.isEmpty()) {
          throw new Violation(
              "one lease at a time: " + holder + " and " + node.identity + " both hold it");
        }
        holder = node.identity;
      }
    }
  }

  // ---- end --------------------------------------------------------------------------------------

  private void settle() {
    cuts.clear();
    nodes.forEach(node -> node.loseNextBatch = false);
    nodes.forEach(this::restart);
    long end = nowMillis + QUIET_MILLIS;
    while (nowMillis < end && !agreed()) {
      advance(QUIET_STEP_MILLIS);
      checkLeases();
      int batch = underWay.size();
      for (int i = 0; i < batch && !underWay.isEmpty(); i++) {
        deliver(0, true);
      }
      if (nowMillis % 1_000 < QUIET_STEP_MILLIS) {
        nodes.stream()
            .filter(node -> node.core != null && node.core.role() == RaftRole.LEADER)
            .findFirst()
            .ifPresent(this::propose);
      }
    }
    if (!agreed()) {
      throw new Violation(
          "the group recovers: no agreement within 60 s after everything is mended: " + describe());
    }
    Set<String> lost = new HashSet<>(acknowledged);
    lost.removeAll(nodes.getFirst().applied);
    if (!lost.isEmpty()) {
      throw new Violation("nothing acknowledged is lost: " + lost);
    }
  }

  private String describe() {
    StringBuilder text = new StringBuilder();
    for (Node node : nodes) {
      RaftCore core = node.core;
      if (core != null) {
        text.append(
            "\n  %s: %s in term %d, log to %d, committed %d, applied %d, snapshot %d, voters %s"
                .formatted(
                    node.identity,
                    core.role(),
                    core.term(),
                    core.lastIndex(),
                    core.commitIndex(),
                    node.appliedIndex,
                    core.snapshotIndex(),
                    VoterSets.voterIds(core.voters())));
      }
    }
    return text.toString();
  }

  private boolean agreed() {
    boolean led =
        nodes.stream().anyMatch(node -> node.core != null && node.core.hasLease(node.clock()));
    Set<List<String>> states = new HashSet<>();
    nodes.forEach(node -> states.add(node.applied));
    return led && states.size() == 1 && nodes.getFirst().applied.containsAll(acknowledged);
  }
}
