package org.curranthaven.internal.ledger;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import org.curranthaven.internal.consensus.StateMachine;
import org.curranthaven.internal.transport.wire.ClaimCommand;
import org.curranthaven.internal.transport.wire.ClaimRecord;
import org.curranthaven.internal.transport.wire.ClaimResult;
import org.curranthaven.internal.transport.wire.ClaimVerdict;
import org.curranthaven.internal.transport.wire.CompleteCommand;
import org.curranthaven.internal.transport.wire.LedgerCommand;
import org.curranthaven.internal.transport.wire.LedgerSnapshot;
import org.curranthaven.internal.transport.wire.ReleaseCommand;

/**
 * Replicated claims of requests that may not be repeated, and the answers of those that ran.
 *
 * <p>A claim is granted at most once for a workspace and key, until it is released by an owner that
 * knows that the request did not run. A record is forgotten only after the state's own clock has
 * passed the key's issue time by {@link #RETENTION_MILLIS}, and from then on the key is refused, so
 * that forgetting never allows a second run.
 *
 * <p>Not thread-safe.
 */
public final class LedgerState implements StateMachine {
  /** Time for which an outcome is kept after the key was issued, in milliseconds. */
  public static final long RETENTION_MILLIS = 600_000;

  /** How far a key's issue time may lie ahead of the state's clock, in milliseconds. */
  public static final long MAX_CLOCK_SKEW_MILLIS = 60_000;

  /** Most bytes of records that one group holds; beyond it new claims are refused. */
  public static final long MAX_RECORD_BYTES = 48L * 1024 * 1024;

  private final Map<ClaimKey, ClaimRecord> records = new HashMap<>();
  private final PriorityQueue<ClaimRecord> recordsByIssueTime =
      new PriorityQueue<>(Comparator.comparingLong(ClaimRecord::getIssuedAtMillis));
  private long nowMillis;
  private long recordBytes;

  private record ClaimKey(String workspace, String key) {}

  /** Returns the number of records held. */
  public int size() {
    return records.size();
  }

  /** Returns the bytes of all records held. */
  public long recordBytes() {
    return recordBytes;
  }

  @Override
  public ByteString apply(long index, ByteString command) {
    try {
      return apply(LedgerCommand.parseFrom(command)).toByteString();
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("ledger entry " + index + " cannot be parsed", e);
    }
  }

  /** Applies a command and returns the verdict with the record it rests on. */
  public ClaimResult apply(LedgerCommand command) {
    nowMillis = Math.max(nowMillis, command.getNowMillis());
    evictExpired();
    return switch (command.getBodyCase()) {
      case CLAIM -> claim(command.getClaim());
      case COMPLETE -> complete(command.getComplete());
      case RELEASE -> release(command.getRelease());
      case BODY_NOT_SET -> ClaimResult.getDefaultInstance();
    };
  }

  private ClaimResult claim(ClaimCommand claim) {
    if (claim.getIssuedAtMillis() + RETENTION_MILLIS <= nowMillis) {
      return result(ClaimVerdict.CLAIM_VERDICT_TOO_OLD);
    }
    if (claim.getIssuedAtMillis() > nowMillis + MAX_CLOCK_SKEW_MILLIS) {
      return result(ClaimVerdict.CLAIM_VERDICT_FROM_FUTURE);
    }
    ClaimRecord known = records.get(new ClaimKey(claim.getWorkspace(), claim.getKey()));
    if (known == null) {
      return grant(claim);
    }
    if (!known.getBodyHash().equals(claim.getBodyHash())) {
      return result(ClaimVerdict.CLAIM_VERDICT_KEY_REUSED);
    }
    if (known.hasAnswer()) {
      return result(ClaimVerdict.CLAIM_VERDICT_DONE, known);
    }
    boolean resent = known.getToken().equals(claim.getToken());
    return result(
        resent ? ClaimVerdict.CLAIM_VERDICT_GRANTED : ClaimVerdict.CLAIM_VERDICT_RUNNING, known);
  }

  private ClaimResult grant(ClaimCommand claim) {
    if (recordBytes >= MAX_RECORD_BYTES) {
      return result(ClaimVerdict.CLAIM_VERDICT_FULL);
    }
    ClaimRecord record =
        ClaimRecord.newBuilder()
            .setWorkspace(claim.getWorkspace())
            .setKey(claim.getKey())
            .setIssuedAtMillis(claim.getIssuedAtMillis())
            .setBodyHash(claim.getBodyHash())
            .setOwnerHost(claim.getOwnerHost())
            .setOwnerIncarnation(claim.getOwnerIncarnation())
            .setToken(claim.getToken())
            .build();
    recordsByIssueTime.add(record);
    store(record);
    return result(ClaimVerdict.CLAIM_VERDICT_GRANTED, record);
  }

  private ClaimResult complete(CompleteCommand complete) {
    ClaimRecord known = records.get(new ClaimKey(complete.getWorkspace(), complete.getKey()));
    if (known == null || !known.getToken().equals(complete.getToken()) || known.hasAnswer()) {
      return result(ClaimVerdict.CLAIM_VERDICT_UNSPECIFIED);
    }
    ClaimRecord done = known.toBuilder().setAnswer(complete.getAnswer()).build();
    store(done);
    return result(ClaimVerdict.CLAIM_VERDICT_DONE, done);
  }

  private ClaimResult release(ReleaseCommand release) {
    ClaimKey key = new ClaimKey(release.getWorkspace(), release.getKey());
    ClaimRecord known = records.get(key);
    if (known != null && known.getToken().equals(release.getToken()) && !known.hasAnswer()) {
      remove(key);
    }
    return result(ClaimVerdict.CLAIM_VERDICT_UNSPECIFIED);
  }

  private void store(ClaimRecord record) {
    ClaimRecord before = records.put(new ClaimKey(record.getWorkspace(), record.getKey()), record);
    recordBytes += record.getSerializedSize() - (before == null ? 0 : before.getSerializedSize());
  }

  private void remove(ClaimKey key) {
    ClaimRecord removed = records.remove(key);
    if (removed != null) {
      recordBytes -= removed.getSerializedSize();
    }
  }

  private void evictExpired() {
    while (!recordsByIssueTime.isEmpty()
        && recordsByIssueTime.peek().getIssuedAtMillis() + RETENTION_MILLIS <= nowMillis) {
      ClaimRecord expired = recordsByIssueTime.remove();
      ClaimKey key = new ClaimKey(expired.getWorkspace(), expired.getKey());
      ClaimRecord current = records.get(key);
      if (current != null && current.getToken().equals(expired.getToken())) {
        remove(key);
      }
    }
  }

  private static ClaimResult result(ClaimVerdict verdict) {
    return ClaimResult.newBuilder().setVerdict(verdict).build();
  }

  private static ClaimResult result(ClaimVerdict verdict, ClaimRecord record) {
    return ClaimResult.newBuilder().setVerdict(verdict).setRecord(record).build();
  }

  @Override
  public ByteString snapshot() {
    return LedgerSnapshot.newBuilder()
        .setNowMillis(nowMillis)
        .addAllRecords(records.values())
        .build()
        .toByteString();
  }

  @Override
  public void restore(ByteString state) {
    try {
      LedgerSnapshot snapshot = LedgerSnapshot.parseFrom(state);
      records.clear();
      recordsByIssueTime.clear();
      recordBytes = 0;
      nowMillis = snapshot.getNowMillis();
      snapshot.getRecordsList().forEach(this::store);
      recordsByIssueTime.addAll(snapshot.getRecordsList());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("a ledger snapshot cannot be parsed", e);
    }
  }
}
