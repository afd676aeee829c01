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
 * Event loop that runs the replicas of all groups on a control host. For each batch of events it
 * persists and syncs the decisions of the Raft cores, and only then sends messages, applies entries
 * and replies to proposals.
 *
 * <p>{@link #execute}, {@link #receive}, {@link #propose}, {@link #transferLeadership}, {@link
 * #identity} and {@link #storageFailure} are thread-safe; the other methods are confined to the
 * consensus thread, except {@link #addObserver}, which is called before the loop starts.
 */
public final class ConsensusLoop implements Child {
  private static final long TICK_INTERVAL_MILLIS = 40;
  private static final long VOTER_CHECK_INTERVAL_MILLIS = 250;
  private static final long REOPEN_DELAY_MILLIS = 1_000;
  private static final int MAX_TASKS_PER_BATCH = 2_048;

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
  private long nextBootstrapMillis = Long.MIN_VALUE;
  private long syncs;

  /**
   * Dependencies of the loop on its host.
   *
   * @param folder data folder of this host
   * @param groupCount number of groups, including group 0
   * @param bootstrapContacts peer addresses of the control hosts that must all be connected, with
   *     empty data folders, before the groups are bootstrapped; empty if this host may only join
   * @param targetVoterCount number of voters that each group should have
   * @param stateMachineFactory creates the state machine of a group from the group number
   * @param self supplies the record of this host
   * @param connectedHosts supplies the control hosts that are connected now
   * @param sender sends a batch to the host with the given identity, best effort
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

  /** Creates the loop, which starts with {@link #run}. */
  public ConsensusLoop(Dependencies dependencies) {
    this.folder = dependencies.folder();
    this.groupCount = dependencies.groupCount();
    this.bootstrapContacts = Set.copyOf(dependencies.bootstrapContacts());
    this.targetVoterCount = dependencies.targetVoterCount();
    this.stateMachineFactory = dependencies.stateMachineFactory();
    this.self = dependencies.self();
    this.connectedHosts = dependencies.connectedHosts();
    this.sender = dependencies.sender();
    this.clock = dependencies.clock();
    this.random = dependencies.random();
  }

  /** Adds an observer. Must be called before {@link #run}. */
  public void addObserver(GroupObserver observer) {
    observers.add(observer);
  }

  /** Runs an action on the consensus thread. */
  public void execute(Runnable action) {
    tasks.add(action);
  }

  /** Handles a batch of messages from the replicas of another host. */
  public void receive(String fromIdentity, ConsensusBatch batch) {
    execute(() -> batch.getMessagesList().forEach(message -> receive(fromIdentity, message)));
  }

  /** Proposes a command to a group; {@code callback} is called on the consensus thread. */
  public void propose(int groupId, ByteString command, Consumer<CommandReply> callback) {
    execute(
        () -> {
          Replica replica = replicas.get(groupId);
          if (replica == null) {
            callback.accept(reply(CommandStatus.COMMAND_STATUS_UNAVAILABLE, ByteString.EMPTY, ""));
            return;
          }
          long requestId = nextRequestId.getAndIncrement();
          replyCallbacks.put(requestId, callback);
          replica.handle(new RaftEvent.Propose(requestId, command), clock.nowMillis());
        });
  }

  /** Transfers the leadership of every group that this host leads to another voter. */
  public void transferLeadership() {
    execute(
        () -> {
          long nowMillis = clock.nowMillis();
          replicas
              .values()
              .forEach(replica -> replica.handle(new RaftEvent.TransferLeadership(), nowMillis));
          observers.forEach(observer -> observer.leadershipTransferStarted(nowMillis));
        });
  }

  /** Returns the identity of this host's data folder. */
  public String identity() {
    return folder.identity();
  }

  /** Returns why a group's storage failed, or an empty string if every group's storage works. */
  public String storageFailure() {
    return storageFailure;
  }

  // ---- confined to the consensus thread ---------------------------------------------------------

  /** Returns the Raft core of a group, or null if this host has no replica of it. */
  public @Nullable RaftCore core(int groupId) {
    Replica replica = replicas.get(groupId);
    return replica == null ? null : replica.core;
  }

  /** Returns the state machine of a group, or null if this host has no replica of it. */
  public @Nullable StateMachine stateMachine(int groupId) {
    Replica replica = replicas.get(groupId);
    return replica == null ? null : replica.stateMachine;
  }

  /** Returns whether all entries in this host's log of the group have been applied. */
  public boolean isFullyApplied(int groupId) {
    Replica replica = replicas.get(groupId);
    return replica != null && replica.isFullyApplied();
  }

  /** Returns the number of syncs to disk since the loop was created. */
  public long syncs() {
    return syncs;
  }

  /** Returns whether this host has a replica of any group. */
  public boolean hasReplicas() {
    return !replicas.isEmpty();
  }

  /** Returns the host name of the group's leader, or an empty string when it is unknown. */
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
    finishBatch(nowMillis);
  }

  private void tick(long nowMillis) {
    reopenFailedGroups(nowMillis);
    replicas.values().forEach(replica -> replica.handle(new RaftEvent.Tick(), nowMillis));
    if (nowMillis >= nextVoterCheckMillis) {
      nextVoterCheckMillis = nowMillis + VOTER_CHECK_INTERVAL_MILLIS;
      if (replicas.isEmpty() && reopenAtMillis.isEmpty() && nowMillis >= nextBootstrapMillis) {
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
        List<RaftDecision> durable = replica.persistAndDrain();
        if (durable.stream().anyMatch(RaftDecision.Persist.class::isInstance)) {
          syncs++;
        }
        durable.forEach(decision -> executeDecision(replica, decision, nowMillis));
        replica.snapshotIfDue(nowMillis);
      } catch (ClosedByInterruptException e) {
        throw new InterruptedException("interrupted while storing group " + replica.groupId);
      } catch (IOException e) {
        closeFailedReplica(replica, e, nowMillis);
      }
    }
    outgoing.forEach((identity, batch) -> sender.accept(identity, batch.build()));
    outgoing.clear();
    observers.forEach(observer -> observer.batchEnded(nowMillis));
  }

  private void executeDecision(Replica replica, RaftDecision decision, long nowMillis) {
    switch (decision) {
      case RaftDecision.Persist persisted -> {}
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
        Logger.info(
            "group {}: role changed to {} in term {} (leader {})",
            replica.groupId,
            change.role(),
            change.term(),
            change.leaderIdentity().isEmpty() ? "unknown" : change.leaderIdentity());
        observers.forEach(observer -> observer.roleChanged(replica.groupId, change, nowMillis));
      }
    }
  }

  private void completeProposal(
      long requestId, CommandStatus status, ByteString result, String leaderHost) {
    Consumer<CommandReply> callback = requestId == 0 ? null : replyCallbacks.remove(requestId);
    if (callback != null) {
      callback.accept(reply(status, result, leaderHost));
    }
  }

  private static CommandReply reply(CommandStatus status, ByteString result, String leaderHost) {
    return CommandReply.newBuilder()
        .setStatus(status)
        .setResult(result)
        .setLeaderHost(leaderHost)
        .build();
  }

  private void receive(String fromIdentity, GroupMessage message) {
    boolean addressedToThisFolder = message.getToIdentity().equals(folder.identity());
    int groupId = message.getGroupId();
    if (!addressedToThisFolder || groupId < 0 || groupId >= groupCount) {
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
      recordStorageWorks();
    } catch (IOException e) {
      recordStorageFailure(groupId, e, nowMillis);
    }
  }

  private void recordStorageWorks() {
    if (reopenAtMillis.isEmpty() && !storageFailure.isEmpty()) {
      Logger.info("storage works again, after: {}", storageFailure);
      storageFailure = "";
    }
  }

  private void reopenFailedGroups(long nowMillis) {
    for (Map.Entry<Integer, Long> entry : Map.copyOf(reopenAtMillis).entrySet()) {
      if (nowMillis >= entry.getValue()) {
        open(entry.getKey());
      }
    }
  }

  /**
   * Closes a replica whose storage failed, since its state in memory may be ahead of the disk. The
   * pending proposals of all groups end with an unknown outcome, because callbacks are not stored
   * by group.
   */
  private void closeFailedReplica(Replica replica, IOException cause, long nowMillis) {
    replicas.remove(replica.groupId);
    replica.close();
    recordStorageFailure(replica.groupId, cause, nowMillis);
    RaftDecision.RoleChanged lostRole =
        new RaftDecision.RoleChanged(RaftRole.FOLLOWER, replica.core.term(), "");
    observers.forEach(observer -> observer.roleChanged(replica.groupId, lostRole, nowMillis));
    List<Consumer<CommandReply>> callbacks = List.copyOf(replyCallbacks.values());
    replyCallbacks.clear();
    callbacks.forEach(
        callback ->
            callback.accept(reply(CommandStatus.COMMAND_STATUS_UNKNOWN, ByteString.EMPTY, "")));
  }

  private void recordStorageFailure(int groupId, IOException cause, long nowMillis) {
    recordStorageFailure("group " + groupId, cause);
    reopenAtMillis.put(groupId, nowMillis + REOPEN_DELAY_MILLIS);
  }

  private void recordStorageFailure(String what, IOException cause) {
    String reason =
        what
            + ": storage failed: "
            + cause.getMessage()
            + "; retrying every "
            + REOPEN_DELAY_MILLIS
            + " ms";
    if (!reason.equals(storageFailure)) {
      Logger.error("{}", reason);
    }
    storageFailure = reason;
  }

  private void bootstrapIfAllowed(long nowMillis) {
    if (!GroupBootstrap.mayBootstrap(self.get(), bootstrapContacts, connectedHosts.get())) {
      return;
    }
    Logger.info(
        "all control hosts {} are connected and have empty data folders: bootstrapping {} consensus"
            + " groups",
        bootstrapContacts,
        groupCount);
    VoterSet initialVoters = VoterSet.newBuilder().addVoters(voter(self.get())).build();
    try {
      GroupCreation.create(folder, groupCount, initialVoters);
    } catch (IOException e) {
      nextBootstrapMillis = nowMillis + REOPEN_DELAY_MILLIS;
      recordStorageFailure("the groups cannot be created", e);
      return;
    }
    for (int groupId = 0; groupId < groupCount; groupId++) {
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
    Set<String> seenIdentities = new HashSet<>(Set.of(folder.identity()));
    for (HostRecord host : connectedHosts.get()) {
      if (seenIdentities.add(host.getIdentity())) {
        candidates.add(voter(host));
      }
    }
    VoterChange.next(core, targetVoterCount, folder.identity(), candidates, nowMillis)
        .ifPresent(voters -> replica.handle(new RaftEvent.ProposeVoters(voters), nowMillis));
  }

  private static Voter voter(HostRecord host) {
    return Voter.newBuilder()
        .setIdentity(host.getIdentity())
        .setHost(host.getName())
        .setPeerAddress(host.getPeerAddress())
        .build();
  }
}
