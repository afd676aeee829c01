package org.curranthaven.internal.consensus;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.curranthaven.internal.transport.wire.AppendReply;
import org.curranthaven.internal.transport.wire.AppendRequest;
import org.curranthaven.internal.transport.wire.EntryKind;
import org.curranthaven.internal.transport.wire.GroupMessage;
import org.curranthaven.internal.transport.wire.LogEntry;
import org.curranthaven.internal.transport.wire.SnapshotChunk;
import org.curranthaven.internal.transport.wire.SnapshotFile;
import org.curranthaven.internal.transport.wire.SnapshotReply;
import org.curranthaven.internal.transport.wire.TimeoutNow;
import org.curranthaven.internal.transport.wire.VoteReply;
import org.curranthaven.internal.transport.wire.VoteRequest;
import org.curranthaven.internal.transport.wire.VoterSet;

/**
 * Raft state machine of one replica. Implements elections with pre-vote and check-quorum, a leader
 * lease measured on the leader's own clock, learners, single-voter membership changes, snapshots
 * sent in chunks, and leadership transfer. Performs no I/O and reads no clock: the caller passes
 * events with the current time to {@link #handle} and carries out the returned decisions.
 *
 * <pre>{@code
 * List<RaftDecision> decisions = new ArrayList<>(core.handle(new Propose(7, command), now));
 * decisions.addAll(core.handle(new BatchEnded(), now));
 * storage.persist(decisions); // persist and sync before sending or applying anything
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class RaftCore {
  /** Maximum number of entries in one append message. */
  static final int MAX_APPEND_ENTRIES = 512;

  /** Maximum bytes of entries in one append message; a single larger entry is sent by itself. */
  static final int MAX_APPEND_BYTES = 512 * 1024;

  /** Maximum number of entries sent to a replica beyond the last one it acknowledged. */
  static final int MAX_ENTRIES_IN_FLIGHT = 8_192;

  /** A pre-vote is retried after a random delay of one to this many heartbeat intervals. */
  static final int PRE_VOTE_RETRY_MAX_HEARTBEATS = 3;

  /** Maximum number of entries that a learner may lag behind when it becomes a voter. */
  static final long MAX_PROMOTION_LAG_ENTRIES = 1_000;

  /** Maximum size of one snapshot chunk, in bytes. */
  static final int SNAPSHOT_CHUNK_BYTES = 256 * 1024;

  private final int groupId;
  private final String self;
  private final RaftTiming timing;
  private final RandomGenerator random;
  private final RaftLog log;
  private final Map<String, FollowerProgress> followers = new HashMap<>();
  private final Set<String> votesGranted = new HashSet<>();
  private final TreeMap<Long, Long> requestIdByIndex = new TreeMap<>();
  private List<RaftDecision> decisions = new ArrayList<>();

  private RaftRole role = RaftRole.FOLLOWER;
  private long term;
  private String votedFor;
  private String leader = "";
  private long commitIndex;
  private long appliedIndex;
  private long electionDeadlineMillis;
  private long lastLeaderContactMillis;
  private long nextHeartbeatMillis;
  private long termStartIndex;
  private boolean transferring;
  private long transferDeadlineMillis;
  private ByteString incomingSnapshot = ByteString.EMPTY;
  private long incomingSnapshotIndex;

  /**
   * Creates a replica from the state read from its data folder.
   *
   * @param groupId number of the group
   * @param self identity of this replica's data folder
   * @param stored state read from the data folder
   * @param random source of randomized election timeouts
   * @param nowMillis current time on this replica's monotonic clock
   */
  public RaftCore(
      int groupId,
      String self,
      RaftTiming timing,
      StoredState stored,
      RandomGenerator random,
      long nowMillis) {
    this.groupId = groupId;
    this.self = self;
    this.timing = timing;
    this.random = random;
    this.log = new RaftLog(stored.snapshot(), stored.entries());
    this.term = stored.term();
    this.votedFor = stored.votedFor();
    this.commitIndex = log.snapshotIndex();
    this.appliedIndex = log.snapshotIndex();
    // A leader that this replica voted for or acknowledged before the restart may still hold a
    // lease, so no vote is granted for the minimum election timeout.
    this.lastLeaderContactMillis = nowMillis;
    resetElectionDeadline(nowMillis);
  }

  /** Handles one event and returns the resulting decisions in the order to carry them out. */
  public List<RaftDecision> handle(RaftEvent event, long nowMillis) {
    decisions = new ArrayList<>();
    switch (event) {
      case RaftEvent.Tick ignored -> tick(nowMillis);
      case RaftEvent.BatchEnded ignored -> sendReadyEntries(nowMillis);
      case RaftEvent.Received received ->
          receive(received.fromIdentity(), received.message(), nowMillis);
      case RaftEvent.Propose proposal -> propose(proposal.requestId(), proposal.command());
      case RaftEvent.ProposeVoters proposal -> proposeVoters(proposal.voters(), nowMillis);
      case RaftEvent.TransferLeadership ignored -> transferLeadership(nowMillis);
      case RaftEvent.SnapshotTaken snapshot -> compact(snapshot.index(), snapshot.state());
    }
    return decisions;
  }

  public RaftRole role() {
    return role;
  }

  public long term() {
    return term;
  }

  /** Returns the identity of the current leader, or an empty string when it is unknown. */
  public String leader() {
    return leader;
  }

  /** Returns the index of the last committed entry. */
  public long commitIndex() {
    return commitIndex;
  }

  /** Returns the index of the last entry in the log, committed or not. */
  public long lastIndex() {
    return log.lastIndex();
  }

  /** Returns the index of the last entry that the latest snapshot covers. */
  public long snapshotIndex() {
    return log.snapshotIndex();
  }

  /** Returns the latest voter set in the log, committed or not. */
  public VoterSet voters() {
    return log.voters();
  }

  /** Returns the index of the log entry with the latest voter set. */
  public long votersIndex() {
    return log.votersIndex();
  }

  /** Returns whether the latest voter set is committed. */
  public boolean votersCommitted() {
    return log.votersIndex() <= commitIndex;
  }

  /** Returns the index up to which the replica's log is known to match; 0 when unknown. */
  public long matchIndex(String identity) {
    FollowerProgress progress = followers.get(identity);
    return progress == null ? 0 : progress.matchIndex;
  }

  /**
   * Returns when the latest message that the replica replied to was sent, on this leader's clock; 0
   * when unknown.
   */
  public long lastAcknowledgedMillis(String identity) {
    FollowerProgress progress = followers.get(identity);
    return progress == null ? 0 : progress.lastAcknowledgedSendMillis;
  }

  /**
   * Returns whether this replica is leader and holds a valid lease, so that no other leader can
   * have been elected.
   */
  public boolean hasLease(long nowMillis) {
    return role == RaftRole.LEADER
        && !transferring
        && commitIndex >= termStartIndex
        && nowMillis < leaseEndMillis(nowMillis);
  }

  /** Returns when the lease ends that the acknowledgements received so far give to a leader. */
  public long leaseEndMillis(long nowMillis) {
    return quorumAcknowledgedMillis(nowMillis) + timing.leaseMillis();
  }

  // ---- timers -----------------------------------------------------------------------------------

  private void tick(long nowMillis) {
    if (role == RaftRole.LEADER) {
      tickLeader(nowMillis);
    } else if (nowMillis >= electionDeadlineMillis && VoterSets.isVoter(log.voters(), self)) {
      startElection(RaftRole.PRE_CANDIDATE, false, nowMillis);
    }
  }

  private void tickLeader(long nowMillis) {
    boolean quorumLost =
        nowMillis - quorumAcknowledgedMillis(nowMillis) > timing.electionTimeoutMinMillis();
    boolean transferFailed = transferring && nowMillis >= transferDeadlineMillis;
    if (quorumLost || transferFailed) {
      becomeFollower(term, "", nowMillis);
      return;
    }
    if (nowMillis >= nextHeartbeatMillis) {
      nextHeartbeatMillis = nowMillis + timing.heartbeatMillis();
      followers.keySet().forEach(id -> sendAppend(id, nowMillis));
    }
  }

  /**
   * Returns the latest send time that a quorum of voters has acknowledged. This replica counts as
   * acknowledging now.
   */
  private long quorumAcknowledgedMillis(long nowMillis) {
    long[] acknowledgedTimes =
        VoterSets.voterIds(log.voters()).stream()
            .mapToLong(id -> id.equals(self) ? nowMillis : lastAcknowledgedMillis(id))
            .sorted()
            .toArray();
    return acknowledgedTimes.length == 0
        ? 0
        : acknowledgedTimes[(acknowledgedTimes.length - 1) / 2];
  }

  private void resetElectionDeadline(long nowMillis) {
    electionDeadlineMillis =
        nowMillis
            + random.nextLong(
                timing.electionTimeoutMinMillis(), timing.electionTimeoutMaxMillis() + 1);
  }

  // ---- elections --------------------------------------------------------------------------------

  private void startElection(RaftRole candidacy, boolean transfer, long nowMillis) {
    resetElectionDeadline(nowMillis);
    votesGranted.clear();
    votesGranted.add(self);
    boolean preVote = candidacy == RaftRole.PRE_CANDIDATE;
    if (preVote) {
      // Voters that received the last heartbeat slightly later reject the pre-vote until their own
      // timeout has passed, so a short retry delay suffices.
      electionDeadlineMillis =
          nowMillis
              + random.nextLong(
                  timing.heartbeatMillis(),
                  PRE_VOTE_RETRY_MAX_HEARTBEATS * timing.heartbeatMillis());
    } else {
      term++;
      votedFor = self;
      decisions.add(new RaftDecision.SaveHardState(term, votedFor));
    }
    changeRole(candidacy, "");
    if (electIfQuorum(nowMillis)) {
      return;
    }
    VoteRequest request =
        VoteRequest.newBuilder()
            .setPreVote(preVote)
            .setLastIndex(log.lastIndex())
            .setLastTerm(log.lastTerm())
            .setLeadershipTransfer(transfer)
            .build();
    for (String voter : VoterSets.voterIds(log.voters())) {
      if (!voter.equals(self)) {
        send(voter, message(preVote ? term + 1 : term).setVoteRequest(request));
      }
    }
  }

  private boolean electIfQuorum(long nowMillis) {
    if (!VoterSets.isQuorum(log.voters(), votesGranted)) {
      return false;
    }
    if (role == RaftRole.PRE_CANDIDATE) {
      startElection(RaftRole.CANDIDATE, false, nowMillis);
    } else {
      becomeLeader(nowMillis);
    }
    return true;
  }

  private void becomeLeader(long nowMillis) {
    followers.clear();
    transferring = false;
    nextHeartbeatMillis = nowMillis + timing.heartbeatMillis();
    changeRole(RaftRole.LEADER, self);
    refreshFollowers();
    // Followers count as having replied now, so that this replica does not step down and no voter
    // counts as lost before the first replies arrive.
    followers.values().forEach(progress -> progress.acknowledged(nowMillis));
    termStartIndex = log.lastIndex() + 1;
    appendLocally(EntryKind.ENTRY_KIND_NOOP, ByteString.EMPTY);
    advanceCommit();
  }

  private void refreshFollowers() {
    List<String> members = VoterSets.memberIds(log.voters());
    followers.keySet().retainAll(members);
    for (String member : members) {
      if (!member.equals(self)) {
        followers.computeIfAbsent(member, id -> new FollowerProgress(log.lastIndex() + 1));
      }
    }
  }

  private void becomeFollower(long newTerm, String newLeader, long nowMillis) {
    if (newTerm > term) {
      term = newTerm;
      votedFor = "";
      decisions.add(new RaftDecision.SaveHardState(term, votedFor));
    }
    if (role == RaftRole.LEADER) {
      resetElectionDeadline(nowMillis);
      followers.clear();
      requestIdByIndex.values().forEach(id -> decisions.add(new RaftDecision.UnknownProposal(id)));
      requestIdByIndex.clear();
    }
    changeRole(RaftRole.FOLLOWER, newLeader);
  }

  private void changeRole(RaftRole newRole, String newLeader) {
    boolean changed = role != newRole || !leader.equals(newLeader);
    role = newRole;
    leader = newLeader;
    if (changed) {
      decisions.add(new RaftDecision.RoleChanged(role, term, leader));
    }
  }

  private boolean hasRecentLeaderContact(long nowMillis) {
    return role == RaftRole.LEADER
        || nowMillis - lastLeaderContactMillis < timing.electionTimeoutMinMillis();
  }

  private void receiveVoteRequest(
      String from, long requestTerm, VoteRequest request, long nowMillis) {
    boolean upToDate =
        request.getLastTerm() > log.lastTerm()
            || (request.getLastTerm() == log.lastTerm()
                && request.getLastIndex() >= log.lastIndex());
    if (request.getPreVote()) {
      boolean granted = requestTerm > term && upToDate && !hasRecentLeaderContact(nowMillis);
      VoteReply reply = VoteReply.newBuilder().setPreVote(true).setGranted(granted).build();
      send(from, message(granted ? requestTerm : term).setVoteReply(reply));
      return;
    }
    boolean canVoteForCandidate = votedFor.isEmpty() || votedFor.equals(from);
    boolean granted = requestTerm == term && canVoteForCandidate && upToDate;
    if (granted && votedFor.isEmpty()) {
      votedFor = from;
      decisions.add(new RaftDecision.SaveHardState(term, votedFor));
    }
    if (granted) {
      resetElectionDeadline(nowMillis);
    }
    send(from, message(term).setVoteReply(VoteReply.newBuilder().setGranted(granted)));
  }

  private void receiveVoteReply(String from, long replyTerm, VoteReply reply, long nowMillis) {
    boolean matchesCandidacy =
        reply.getPreVote()
            ? role == RaftRole.PRE_CANDIDATE && replyTerm == term + 1
            : role == RaftRole.CANDIDATE && replyTerm == term;
    if (matchesCandidacy && reply.getGranted()) {
      votesGranted.add(from);
      electIfQuorum(nowMillis);
    }
  }

  // ---- messages ---------------------------------------------------------------------------------

  private void receive(String from, GroupMessage message, long nowMillis) {
    if (message.getTerm() > term && !adoptTerm(message, nowMillis)) {
      return;
    }
    switch (message.getBodyCase()) {
      case VOTE_REQUEST ->
          receiveVoteRequest(from, message.getTerm(), message.getVoteRequest(), nowMillis);
      case VOTE_REPLY ->
          receiveVoteReply(from, message.getTerm(), message.getVoteReply(), nowMillis);
      case APPEND_REQUEST ->
          receiveAppend(from, message.getTerm(), message.getAppendRequest(), nowMillis);
      case APPEND_REPLY ->
          receiveAppendReply(from, message.getTerm(), message.getAppendReply(), nowMillis);
      case SNAPSHOT_PIECE ->
          receiveSnapshotChunk(from, message.getTerm(), message.getSnapshotPiece(), nowMillis);
      case SNAPSHOT_REPLY ->
          receiveSnapshotReply(from, message.getTerm(), message.getSnapshotReply(), nowMillis);
      case TIMEOUT_NOW -> receiveTimeoutNow(from, message.getTerm(), nowMillis);
      case BODY_NOT_SET -> {}
    }
  }

  /**
   * Adopts the higher term of a message. Pre-vote requests and granted pre-vote replies are
   * excepted, since they carry the term of an election that has not started. Returns whether the
   * message is to be processed: a vote request is dropped after recent contact with a leader,
   * unless that leader is transferring its leadership.
   */
  private boolean adoptTerm(GroupMessage message, long nowMillis) {
    if (message.hasVoteRequest()) {
      VoteRequest request = message.getVoteRequest();
      if (request.getPreVote()) {
        return true;
      }
      if (hasRecentLeaderContact(nowMillis) && !request.getLeadershipTransfer()) {
        return false;
      }
    }
    boolean grantedPreVote =
        message.hasVoteReply()
            && message.getVoteReply().getPreVote()
            && message.getVoteReply().getGranted();
    if (!grantedPreVote) {
      becomeFollower(message.getTerm(), "", nowMillis);
    }
    return true;
  }

  private void followLeader(String from, long nowMillis) {
    lastLeaderContactMillis = nowMillis;
    resetElectionDeadline(nowMillis);
    becomeFollower(term, from, nowMillis);
  }

  private void receiveAppend(String from, long leaderTerm, AppendRequest request, long nowMillis) {
    if (leaderTerm < term) {
      replyToAppend(from, request, false, 0);
      return;
    }
    followLeader(from, nowMillis);
    long previous = request.getPreviousIndex();
    boolean coveredBySnapshot = previous < log.snapshotIndex();
    if (!coveredBySnapshot && log.termAt(previous) != request.getPreviousTerm()) {
      replyToAppend(from, request, false, 0);
      return;
    }
    long matched = appendReceived(request.getEntriesList(), previous);
    if (request.getCommitIndex() > commitIndex) {
      commitIndex = Math.max(commitIndex, Math.min(request.getCommitIndex(), matched));
      applyCommitted();
    }
    replyToAppend(from, request, true, matched);
  }

  /** Appends the new entries and truncates conflicting ones; returns the last matching index. */
  private long appendReceived(List<LogEntry> received, long previousIndex) {
    List<LogEntry> added = new ArrayList<>();
    for (LogEntry entry : received) {
      boolean present = entry.getIndex() <= log.snapshotIndex();
      if (!present && added.isEmpty() && log.contains(entry.getIndex())) {
        present = log.termAt(entry.getIndex()) == entry.getTerm();
        if (!present) {
          truncateFrom(entry.getIndex());
        }
      }
      if (!present) {
        added.add(entry);
      }
    }
    if (!added.isEmpty()) {
      log.append(added);
      decisions.add(new RaftDecision.AppendEntries(List.copyOf(added)));
    }
    return received.isEmpty() ? previousIndex : received.getLast().getIndex();
  }

  private void truncateFrom(long index) {
    if (index <= commitIndex) {
      throw new IllegalStateException(
          ("group %d: the log of the leader of term %d conflicts with committed entry %d"
                  + " (commit index %d)")
              .formatted(groupId, term, index, commitIndex));
    }
    log.truncateFrom(index);
    decisions.add(new RaftDecision.TruncateFrom(index));
  }

  private void replyToAppend(String to, AppendRequest request, boolean accepted, long matched) {
    // After a rejection the leader continues after the last index given here. If the entry at the
    // previous index conflicts, only committed entries are known to match the leader's log.
    AppendReply reply =
        AppendReply.newBuilder()
            .setAccepted(accepted)
            .setMatchIndex(matched)
            .setLastIndex(log.contains(request.getPreviousIndex()) ? commitIndex : log.lastIndex())
            .setEchoedSentAtMillis(request.getSentAtMillis())
            .build();
    send(to, message(term).setAppendReply(reply));
  }

  private void receiveAppendReply(String from, long replyTerm, AppendReply reply, long nowMillis) {
    FollowerProgress progress = followers.get(from);
    if (role != RaftRole.LEADER || replyTerm != term || progress == null) {
      return;
    }
    progress.acknowledged(reply.getEchoedSentAtMillis());
    if (reply.getAccepted()) {
      progress.matchIndex = Math.max(progress.matchIndex, reply.getMatchIndex());
      progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
      advanceCommit();
      sendTimeoutNowIfCaughtUp(from);
      stepDownIfRemoved(nowMillis);
      return;
    }
    long retryIndex = Math.max(progress.matchIndex, reply.getLastIndex()) + 1;
    if (retryIndex < progress.nextIndex) {
      progress.nextIndex = retryIndex;
      sendAppend(from, nowMillis);
    }
  }

  // ---- replication ------------------------------------------------------------------------------

  private void propose(long requestId, ByteString command) {
    if (role != RaftRole.LEADER || transferring) {
      decisions.add(new RaftDecision.RejectedProposal(requestId));
      return;
    }
    long index = appendLocally(EntryKind.ENTRY_KIND_COMMAND, command);
    requestIdByIndex.put(index, requestId);
  }

  private void proposeVoters(VoterSet proposed, long nowMillis) {
    boolean allowed =
        role == RaftRole.LEADER
            && !transferring
            && commitIndex >= termStartIndex
            && votersCommitted()
            && proposed.getVotersCount() > 0
            && VoterSets.differByAtMostOneVoter(log.voters(), proposed)
            && newVotersCaughtUp(proposed, nowMillis);
    if (allowed) {
      appendLocally(EntryKind.ENTRY_KIND_VOTERS, proposed.toByteString());
      refreshFollowers();
    }
  }

  private boolean newVotersCaughtUp(VoterSet proposed, long nowMillis) {
    return VoterSets.voterIds(proposed).stream()
        .filter(id -> !VoterSets.isVoter(log.voters(), id))
        .allMatch(id -> isCaughtUp(id, nowMillis));
  }

  /**
   * Returns whether a replica lags by at most {@link #MAX_PROMOTION_LAG_ENTRIES} entries and
   * replied within the minimum election timeout.
   */
  public boolean isCaughtUp(String identity, long nowMillis) {
    return matchIndex(identity) > 0
        && matchIndex(identity) + MAX_PROMOTION_LAG_ENTRIES >= log.lastIndex()
        && nowMillis - lastAcknowledgedMillis(identity) < timing.electionTimeoutMinMillis();
  }

  private long appendLocally(EntryKind kind, ByteString data) {
    LogEntry entry =
        LogEntry.newBuilder()
            .setIndex(log.lastIndex() + 1)
            .setTerm(term)
            .setKind(kind)
            .setData(data)
            .build();
    log.append(List.of(entry));
    decisions.add(new RaftDecision.AppendEntries(List.of(entry)));
    return entry.getIndex();
  }

  private void sendReadyEntries(long nowMillis) {
    if (role != RaftRole.LEADER) {
      return;
    }
    followers.forEach(
        (id, progress) -> {
          long maxIndex = progress.matchIndex + MAX_ENTRIES_IN_FLIGHT;
          while (progress.nextIndex <= Math.min(log.lastIndex(), maxIndex)
              && progress.nextIndex > log.snapshotIndex()) {
            sendAppend(id, nowMillis);
          }
        });
    advanceCommit();
  }

  private void sendAppend(String to, long nowMillis) {
    FollowerProgress progress = followers.get(to);
    if (progress == null) {
      return;
    }
    if (progress.nextIndex <= log.snapshotIndex()) {
      sendSnapshotChunk(to, progress, nowMillis);
      return;
    }
    progress.snapshotOffset = -1;
    long previous = progress.nextIndex - 1;
    List<LogEntry> entries =
        progress.nextIndex - progress.matchIndex > MAX_ENTRIES_IN_FLIGHT
            ? List.of()
            : log.slice(progress.nextIndex, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES);
    AppendRequest request =
        AppendRequest.newBuilder()
            .setPreviousIndex(previous)
            .setPreviousTerm(log.termAt(previous))
            .addAllEntries(entries)
            .setCommitIndex(commitIndex)
            .setSentAtMillis(nowMillis)
            .build();
    progress.nextIndex += entries.size();
    send(to, message(term).setAppendRequest(request));
  }

  private void advanceCommit() {
    if (role != RaftRole.LEADER) {
      return;
    }
    long[] matchIndexes =
        VoterSets.voterIds(log.voters()).stream()
            .mapToLong(id -> id.equals(self) ? log.lastIndex() : matchIndex(id))
            .sorted()
            .toArray();
    if (matchIndexes.length == 0) {
      return;
    }
    long quorumIndex = matchIndexes[(matchIndexes.length - 1) / 2];
    if (quorumIndex > commitIndex && log.termAt(quorumIndex) == term) {
      commitIndex = quorumIndex;
      applyCommitted();
    }
  }

  private void applyCommitted() {
    while (appliedIndex < commitIndex) {
      appliedIndex++;
      Long requestId = requestIdByIndex.remove(appliedIndex);
      decisions.add(
          new RaftDecision.Apply(log.entry(appliedIndex), requestId == null ? 0 : requestId));
    }
  }

  private void stepDownIfRemoved(long nowMillis) {
    if (role == RaftRole.LEADER && votersCommitted() && !VoterSets.isVoter(log.voters(), self)) {
      becomeFollower(term, "", nowMillis);
    }
  }

  // ---- snapshots --------------------------------------------------------------------------------

  private void compact(long index, ByteString state) {
    if (!log.contains(index) || index > appliedIndex) {
      return;
    }
    SnapshotFile newSnapshot =
        SnapshotFile.newBuilder()
            .setLastIndex(index)
            .setLastTerm(log.termAt(index))
            .setVoters(log.votersAt(index))
            .setState(state)
            .build();
    log.compact(newSnapshot);
    decisions.add(new RaftDecision.SaveSnapshot(newSnapshot, false));
  }

  private void sendSnapshotChunk(String to, FollowerProgress progress, long nowMillis) {
    SnapshotFile snapshot = log.snapshot();
    if (progress.snapshotOffset < 0 || progress.snapshotIndex != snapshot.getLastIndex()) {
      progress.snapshotOffset = 0;
      progress.snapshotIndex = snapshot.getLastIndex();
    }
    int start = (int) progress.snapshotOffset;
    int end = Math.min(start + SNAPSHOT_CHUNK_BYTES, snapshot.getState().size());
    SnapshotChunk chunk =
        SnapshotChunk.newBuilder()
            .setLastIndex(snapshot.getLastIndex())
            .setLastTerm(snapshot.getLastTerm())
            .setVoters(snapshot.getVoters().toByteString())
            .setOffset(start)
            .setData(snapshot.getState().substring(start, end))
            .setLast(end == snapshot.getState().size())
            .setSentAtMillis(nowMillis)
            .build();
    send(to, message(term).setSnapshotPiece(chunk));
  }

  private void receiveSnapshotChunk(
      String from, long leaderTerm, SnapshotChunk chunk, long nowMillis) {
    if (leaderTerm < term) {
      replyToSnapshot(from, chunk, 0, false);
      return;
    }
    followLeader(from, nowMillis);
    if (chunk.getLastIndex() <= commitIndex) {
      replyToSnapshot(from, chunk, 0, true);
      return;
    }
    if (chunk.getOffset() == 0 || chunk.getLastIndex() != incomingSnapshotIndex) {
      incomingSnapshot = ByteString.EMPTY;
      incomingSnapshotIndex = chunk.getLastIndex();
    }
    if (chunk.getOffset() != incomingSnapshot.size()) {
      replyToSnapshot(from, chunk, incomingSnapshot.size(), false);
      return;
    }
    incomingSnapshot = incomingSnapshot.concat(chunk.getData());
    if (chunk.getLast()) {
      installSnapshot(chunk);
      incomingSnapshot = ByteString.EMPTY;
    }
    replyToSnapshot(from, chunk, incomingSnapshot.size(), chunk.getLast());
  }

  private void installSnapshot(SnapshotChunk chunk) {
    if (log.termAt(chunk.getLastIndex()) == chunk.getLastTerm()) {
      // The log already contains the snapshot's last entry. Keep the log: entries after the
      // snapshot may have been acknowledged to the leader and must not be discarded.
      commitIndex = chunk.getLastIndex();
      applyCommitted();
      return;
    }
    SnapshotFile installed =
        SnapshotFile.newBuilder()
            .setLastIndex(chunk.getLastIndex())
            .setLastTerm(chunk.getLastTerm())
            .setVoters(VoterSets.parse(chunk.getVoters()))
            .setState(incomingSnapshot)
            .build();
    log.reset(installed);
    commitIndex = installed.getLastIndex();
    appliedIndex = installed.getLastIndex();
    decisions.add(new RaftDecision.SaveSnapshot(installed, true));
    decisions.add(new RaftDecision.RestoreState(installed));
  }

  private void replyToSnapshot(String to, SnapshotChunk chunk, long nextOffset, boolean installed) {
    SnapshotReply reply =
        SnapshotReply.newBuilder()
            .setNextOffset(nextOffset)
            .setInstalled(installed)
            .setLastIndex(chunk.getLastIndex())
            .setEchoedSentAtMillis(chunk.getSentAtMillis())
            .build();
    send(to, message(term).setSnapshotReply(reply));
  }

  private void receiveSnapshotReply(
      String from, long replyTerm, SnapshotReply reply, long nowMillis) {
    FollowerProgress progress = followers.get(from);
    if (role != RaftRole.LEADER || replyTerm != term || progress == null) {
      return;
    }
    progress.acknowledged(reply.getEchoedSentAtMillis());
    if (progress.snapshotOffset < 0 || reply.getLastIndex() != progress.snapshotIndex) {
      return;
    }
    if (reply.getInstalled()) {
      progress.snapshotOffset = -1;
      progress.matchIndex = Math.max(progress.matchIndex, reply.getLastIndex());
      progress.nextIndex = progress.matchIndex + 1;
      advanceCommit();
      sendAppend(from, nowMillis);
    } else if (reply.getNextOffset() != progress.snapshotOffset) {
      progress.snapshotOffset = reply.getNextOffset();
      sendSnapshotChunk(from, progress, nowMillis);
    }
  }

  // ---- leadership transfer ----------------------------------------------------------------------

  private void transferLeadership(long nowMillis) {
    if (role != RaftRole.LEADER || transferring || VoterSets.voterIds(log.voters()).size() < 2) {
      return;
    }
    // The leader does not use its lease again in this term: a delayed TimeoutNow may still start an
    // election.
    transferring = true;
    transferDeadlineMillis = nowMillis + timing.electionTimeoutMaxMillis();
    VoterSets.voterIds(log.voters()).forEach(this::sendTimeoutNowIfCaughtUp);
  }

  private void sendTimeoutNowIfCaughtUp(String to) {
    boolean voter = VoterSets.isVoter(log.voters(), to);
    if (role == RaftRole.LEADER
        && transferring
        && voter
        && !to.equals(self)
        && matchIndex(to) == log.lastIndex()) {
      send(to, message(term).setTimeoutNow(TimeoutNow.getDefaultInstance()));
    }
  }

  private void receiveTimeoutNow(String from, long leaderTerm, long nowMillis) {
    boolean fromLeader = leaderTerm == term && from.equals(leader);
    if (fromLeader && VoterSets.isVoter(log.voters(), self)) {
      startElection(RaftRole.CANDIDATE, true, nowMillis);
    }
  }

  // ---- sending ----------------------------------------------------------------------------------

  private GroupMessage.Builder message(long messageTerm) {
    return GroupMessage.newBuilder().setGroupId(groupId).setTerm(messageTerm);
  }

  private void send(String to, GroupMessage.Builder message) {
    decisions.add(new RaftDecision.Send(to, message.setToIdentity(to).build()));
  }
}
