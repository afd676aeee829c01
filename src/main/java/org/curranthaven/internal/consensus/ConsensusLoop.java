package org.curranthaven.internal.consensus;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.channels.ClosedByInterruptException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.curranthaven.internal.supervision.Child;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.wire.CommandReply;
import org.curranthaven.internal.transport.wire.CommandStatus;
import org.curranthaven.internal.transport.wire.ConsensusBatch;
import org.curranthaven.internal.transport.wire.GroupMessage;
import org.curranthaven.internal.transport.wire.HostRecord;
import org.curranthaven.internal.transport.wire.Voter;
import org.curranthaven.internal.transport.wire.VoterSet;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * The thread that runs every group's replica on a control host: takes events, stores and syncs what
 * the cores decide, and only then sends, applies and answers. All public methods are thread-safe.
 */
public final class ConsensusLoop implements Child {
  private static final long TICK_INTERVAL_MILLIS = 40;
  private static final long VOTER_CHECK_INTERVAL_MILLIS = 250;
  private static final long REOPEN_DELAY_MILLIS = 1_000;
  private static final int MAX_BATCH_TASKS = 2_048;

  private final DataFolder folder;
  private final int groupCount;
  private final Set<String> bootstrapContacts;
  private final int targetVoterCount;
  private final IntFunction<StateMachine> stateMachineFactory;
  private final Supplier<HostRecord> self;
  private final Supplier<Collection<HostRecord>> connectedHosts;
  private final BiConsumer<String, ConsensusBatch> sender;
  private final Clock clock;
  private final RandomGenerator random;
  private final LinkedBlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
  private final Map<Integer, Replica> replicas = new TreeMap<>();
  private final Map<Integer, Long> reopenAtMillis = new HashMap<>();
  private final Map<Long, Consumer<CommandReply>> replyCallbacks = new HashMap<>();
  private final Map<String, ConsensusBatch.Builder> outgoing = new HashMap<>();
  private final AtomicLong nextRequestId = new AtomicLong(1);
  private final List<GroupObserver> observers = new ArrayList<>();
  private volatile String storageFailure = "";
  private long nextTickMillis;
  private long nextVoterCheckMillis;
  private long syncs;

  /**
   * What the loop needs of its host.
   *
   * @param folder data folder
   * @param groupCount number of groups, group 0 included
   * @param bootstrapContacts peer addresses of the control hosts that must all be empty for the
   *     groups to be founded; empty if this host may only join
   * @param targetVoterCount number of voters of each group
   * @param stateMachineFactory makes the state machine of a group
   * @param self describes this host
   * @param connectedHosts control hosts that are connected now
   * @param sender sends a batch to the host with an identity; may drop it
   */
  public record Dependencies(
      DataFolder folder,
      int groupCount,
      Set<String> bootstrapContacts,
      int targetVoterCount,
      IntFunction<StateMachine> stateMachineFactory,
      Supplier<HostRecord> self,
      Supplier<Collection<HostRecord>> connectedHosts,
      BiConsumer<String, ConsensusBatch> sender,
      Clock clock,
      RandomGenerator random) {}

  /** Creates the loop; it starts with {@link #run}. */
  public ConsensusLoop(Dependencies wiring) {
    this.folder = wiring.folder();
    this.groupCount = wiring.groupCount();
    this.bootstrapContacts = Set.copyOf(wiring.bootstrapContacts());
    this.targetVoterCount = wiring.targetVoterCount();
    this.stateMachineFactory = wiring.stateMachineFactory();
    this.self = wiring.self();
    this.connectedHosts = wiring.connectedHosts();
    this.sender = wiring.sender();
    this.clock = wiring.clock();
    this.random = wiring.random();
  }

  /** Adds an observer; to be called before {@link #run}. */
  public void addObserver(GroupObserver observer) {
    observers.add(observer);
  }

  /** Runs an action on the consensus thread. */
  public void execute(Runnable action) {
    tasks.add(action);
  }

  /** Takes in what another host's replicas sent. */
  public void receive(String fromIdentity, ConsensusBatch batch) {
    execute(() -> batch.getMessagesList().forEach(message -> receive(fromIdentity, message)));
  }

  /** Proposes a command to a group; {@code answer} is called on the consensus thread. */
  public void propose(int groupId, ByteString command, Consumer<CommandReply> answer) {
    execute(
        () -> {
          Replica replica = replicas.get(groupId);
          if (replica == null) {
            answer.accept(reply(CommandStatus.COMMAND_STATUS_UNAVAILABLE, ByteString.EMPTY, ""));
            return;
          }
          long requestId = nextRequestId.getAndIncrement();
          replyCallbacks.put(requestId, answer);
          replica.handle(new RaftEvent.Propose(requestId, command), clock.nowMillis());
        });
  }

  /** Asks every group that this host leads to hand over leadership. */
  public void transferLeadership() {
    execute(
        () ->
            replicas
                .values()
                .forEach(r -> r.handle(new RaftEvent.TransferLeadership(), clock.nowMillis())));
  }

  /** Returns the identity of this host's data folder. */
  public String identity() {
    return folder.identity();
  }

  /** Returns why the data folder cannot be written, or an empty text. */
  public String storageFailure() {
    return storageFailure;
  }

  // ---- on the consensus thread ------------------------------------------------------------------

  /** Returns the core of a group, or null while this host holds no replica of it. */
  public @Nullable RaftCore core(int groupId) {
    Replica replica = replicas.get(groupId);
    return replica == null ? null : replica.core;
  }

  /** Returns the state machine of a group, or null while this host holds no replica of it. */
  public @Nullable StateMachine stateMachine(int groupId) {
    Replica replica = replicas.get(groupId);
    return replica == null ? null : replica.stateMachine;
  }

  /** Returns whether every entry in this host's log of the group is applied. */
  public boolean isFullyApplied(int groupId) {
    Replica replica = replicas.get(groupId);
    return replica != null && replica.isFullyApplied();
  }

  /** Returns the number of times the loop has synced files. */
  public long syncs() {
    return syncs;
  }

  /** Returns whether this host holds a replica of any group. */
  public boolean hasReplicas() {
    return !replicas.isEmpty();
  }

  /** Returns the host name of the group's leader, empty when unknown. */
  public String leaderHost(int groupId) {
    RaftCore core = core(groupId);
    if (core == null || core.leader().isEmpty()) {
      return "";
    }
    return core.voters().getVotersList().stream()
        .filter(voter -> voter.getIdentity().equals(core.leader()))
        .map(Voter::getHost)
        .findFirst()
        .orElse("");
  }

  @Override
  public void run() throws InterruptedException, IOException {
    replicas.values().forEach(Replica::close);
    replicas.clear();
    for (int groupId : folder.groupIds()) {
      open(groupId);
    }
    try {
      while (true) {
        runBatch();
      }
    } finally {
      replicas.values().forEach(Replica::close);
      replicas.clear();
    }
  }

  private void runBatch() throws InterruptedException {
    long wait = Math.max(0, nextTickMillis - clock.nowMillis());
    Runnable task = tasks.poll(wait, TimeUnit.MILLISECONDS);
    for (int i = 0; task != null && i < MAX_BATCH_TASKS; i++) {
      task.run();
      task = i + 1 < MAX_BATCH_TASKS ? tasks.poll() : null;
    }
    long nowMillis = clock.nowMillis();
    if (nowMillis >= nextTickMillis) {
      nextTickMillis = nowMillis + TICK_INTERVAL_MILLIS;
      tick(nowMillis);
    }
    finishBatch(nowMillis);
  }

  private void tick(long nowMillis) {
    reopenFailedGroups(nowMillis);
    replicas.values().forEach(replica -> replica.handle(new RaftEvent.Tick(), nowMillis));
    if (nowMillis >= nextVoterCheckMillis) {
      nextVoterCheckMillis = nowMillis + VOTER_CHECK_INTERVAL_MILLIS;
      if (replicas.isEmpty() && reopenAtMillis.isEmpty()) {
        bootstrapIfAllowed(nowMillis);
      }
      replicas.values().forEach(replica -> proposeVoterChange(replica, nowMillis));
    }
    observers.forEach(observer -> observer.tick(nowMillis));
  }

  private void finishBatch(long nowMillis) throws InterruptedException {
    for (Replica replica : List.copyOf(replicas.values())) {
      replica.handle(new RaftEvent.BatchEnded(), nowMillis);
      try {
        List<RaftDecision> released = replica.persistAndDrain();
        if (released.stream().anyMatch(RaftDecision.Persist.class::isInstance)) {
          syncs++;
        }
        released.forEach(decision -> executeDecision(replica, decision, nowMillis));
        replica.snapshotIfDue(nowMillis);
      } catch (ClosedByInterruptException e) {
        throw new InterruptedException("asked to stop while storing");
      } catch (IOException e) {
        closeFailedReplica(replica, e, nowMillis);
      }
    }
    outgoing.forEach((identity, batch) -> sender.accept(identity, batch.build()));
    outgoing.clear();
  }

  private void executeDecision(Replica replica, RaftDecision decision, long nowMillis) {
    switch (decision) {
      case RaftDecision.Persist stored -> {}
      case RaftDecision.Send send ->
          outgoing
              .computeIfAbsent(send.toIdentity(), id -> ConsensusBatch.newBuilder())
              .addMessages(send.message());
      case RaftDecision.Apply apply -> {
        ByteString result = replica.apply(apply.entry());
        completeProposal(apply.requestId(), CommandStatus.COMMAND_STATUS_APPLIED, result, "");
        for (GroupObserver observer : observers) {
          observer.applied(replica.groupId, apply.entry().getIndex(), nowMillis);
        }
      }
      case RaftDecision.RestoreState restore -> {
        replica.restore(restore);
        long index = restore.snapshot().getLastIndex();
        observers.forEach(observer -> observer.applied(replica.groupId, index, nowMillis));
      }
      case RaftDecision.RejectedProposal rejected ->
          completeProposal(
              rejected.requestId(),
              CommandStatus.COMMAND_STATUS_NOT_LEADER,
              ByteString.EMPTY,
              leaderHost(replica.groupId));
      case RaftDecision.UnknownProposal unknown ->
          completeProposal(
              unknown.requestId(), CommandStatus.COMMAND_STATUS_UNKNOWN, ByteString.EMPTY, "");
      case RaftDecision.RoleChanged change -> {
        Logger.info("group {}: {} in term {}", replica.groupId, change.role(), change.term());
        observers.forEach(observer -> observer.roleChanged(replica.groupId, change, nowMillis));
      }
    }
  }

  private void completeProposal(
      long requestId, CommandStatus status, ByteString result, String leader) {
    Consumer<CommandReply> waiter = requestId == 0 ? null : replyCallbacks.remove(requestId);
    if (waiter != null) {
      waiter.accept(reply(status, result, leader));
    }
  }

  private static CommandReply reply(CommandStatus status, ByteString result, String leader) {
    return CommandReply.newBuilder()
        .setStatus(status)
        .setResult(result)
        .setLeaderHost(leader)
        .build();
  }

  private void receive(String fromIdentity, GroupMessage message) {
    boolean forThisFolder = message.getToIdentity().equals(folder.identity());
    int groupId = message.getGroupId();
    if (!forThisFolder || groupId < 0 || groupId >= groupCount) {
      return;
    }
    if (!replicas.containsKey(groupId) && !reopenAtMillis.containsKey(groupId)) {
      open(groupId);
    }
    Replica replica = replicas.get(groupId);
    if (replica != null) {
      replica.handle(new RaftEvent.Received(fromIdentity, message), clock.nowMillis());
    }
  }

  // ---- groups -----------------------------------------------------------------------------------

  private void open(int groupId) {
    long nowMillis = clock.nowMillis();
    try {
      GroupStorage storage = GroupStorage.open(folder.groupFolder(groupId));
      RaftCore core =
          new RaftCore(
              groupId,
              folder.identity(),
              RaftTiming.standard(),
              storage.loadedState(),
              random,
              nowMillis);
      replicas.put(
          groupId, new Replica(groupId, core, stateMachineFactory.apply(groupId), storage));
      reopenAtMillis.remove(groupId);
      if (reopenAtMillis.isEmpty()) {
        storageFailure = "";
      }
    } catch (IOException e) {
      recordStorageFailure(groupId, e, nowMillis);
    }
  }

  private void reopenFailedGroups(long nowMillis) {
    for (Map.Entry<Integer, Long> entry : Map.copyOf(reopenAtMillis).entrySet()) {
      if (nowMillis >= entry.getValue()) {
        open(entry.getKey());
      }
    }
  }

  /** Drops a replica whose files failed: what is in memory may be ahead of the disk. */
  private void closeFailedReplica(Replica replica, IOException cause, long nowMillis) {
    replicas.remove(replica.groupId);
    replica.close();
    recordStorageFailure(replica.groupId, cause, nowMillis);
    RaftDecision.RoleChanged stopped =
        new RaftDecision.RoleChanged(RaftRole.FOLLOWER, replica.core.term(), "");
    observers.forEach(observer -> observer.roleChanged(replica.groupId, stopped, nowMillis));
    List<Consumer<CommandReply>> open = List.copyOf(replyCallbacks.values());
    replyCallbacks.clear();
    open.forEach(
        waiter -> waiter.accept(reply(CommandStatus.COMMAND_STATUS_UNKNOWN, ByteString.EMPTY, "")));
  }

  private void recordStorageFailure(int groupId, IOException cause, long nowMillis) {
    String reason = "group " + groupId + " cannot be stored: " + cause.getMessage();
    if (!reason.equals(storageFailure)) {
      Logger.error("{}", reason);
    }
    storageFailure = reason;
    reopenAtMillis.put(groupId, nowMillis + REOPEN_DELAY_MILLIS);
  }

  private void bootstrapIfAllowed(long nowMillis) {
    if (!GroupBootstrap.mayBootstrap(self.get(), bootstrapContacts, connectedHosts.get())) {
      return;
    }
    Logger.info("{} are all empty: founding the groups", bootstrapContacts);
    VoterSet founders = VoterSet.newBuilder().addVoters(voter(self.get())).build();
    for (int groupId = 0; groupId < groupCount; groupId++) {
      try (GroupStorage storage = GroupStorage.open(folder.groupFolder(groupId))) {
        storage.persist(
            new RaftDecision.AppendEntries(List.of(StoredState.bootstrapEntry(founders))));
        storage.persist(new RaftDecision.SaveHardState(1, ""));
        storage.sync();
      } catch (IOException e) {
        recordStorageFailure(groupId, e, nowMillis);
        return;
      }
      open(groupId);
    }
  }

  private void proposeVoterChange(Replica replica, long nowMillis) {
    RaftCore core = replica.core;
    if (core.role() != RaftRole.LEADER || !core.votersCommitted()) {
      return;
    }
    List<Voter> candidates = new ArrayList<>();
    candidates.add(voter(self.get()));
    Set<String> seen = new HashSet<>(Set.of(folder.identity()));
    for (HostRecord host : connectedHosts.get()) {
      if (seen.add(host.getIdentity())) {
        candidates.add(voter(host));
      }
    }
    VoterChange.next(core, targetVoterCount, folder.identity(), candidates, nowMillis)
        .ifPresent(set -> replica.handle(new RaftEvent.ProposeVoters(set), nowMillis));
  }

  private static Voter voter(HostRecord host) {
    return Voter.newBuilder()
        .setIdentity(host.getIdentity())
        .setHost(host.getName())
        .setPeerAddress(host.getPeerAddress())
        .build();
  }
}
