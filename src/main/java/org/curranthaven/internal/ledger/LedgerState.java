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
 * Replicated state of the idempotency ledger: claims of requests that must not be executed twice,
 * and the stored responses of completed ones.
 *
 * <p>A claim is granted at most once for a workspace and key, unless its owner, knowing that the
 * request was not executed, releases it. A record is evicted only once the state's own clock has
 * passed the key's issue time by {@link #RETENTION_MILLIS}; from then on the key is rejected as too
 * old, so that eviction never allows a second execution.
 *
 * <p>Not thread-safe.
 */
public final class LedgerState implements StateMachine {
  /** Time for which a record is retained after its key was issued, in milliseconds. */
  public static final long RETENTION_MILLIS = 600_000;

  /**
   * Maximum time by which a key's issue time may be ahead of the state's clock, in milliseconds.
   */
  public static final long MAX_CLOCK_SKEW_MILLIS = 60_000;

  /** Maximum bytes of records in one group; at this size new claims are rejected. */
  public static final long MAX_RECORD_BYTES = 48L * 1024 * 1024;

  private final Map<ClaimKey, ClaimRecord> records = new HashMap<>();
  private final PriorityQueue<ClaimRecord> recordsByIssueTime =
      new PriorityQueue<>(Comparator.comparingLong(ClaimRecord::getIssuedAtMillis));
  private long nowMillis;
  private long recordBytes;

  private record ClaimKey(String workspace, String key) {}

  /** Returns the number of retained records. */
  public int size() {
    return records.size();
  }

  /** Returns the total size of the retained records, in bytes. */
  public long recordBytes() {
    return recordBytes;
  }

  @Override
  public ByteString apply(long index, ByteString command) {
    try {
      return apply(LedgerCommand.parseFrom(command)).toByteString();
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(
          "ledger command at log index "
              + index
              + " cannot be parsed; check that all hosts run compatible versions",
          e);
    }
  }

  /** Applies a command and returns the verdict with the record that it is based on. */
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
    ClaimRecord existing = records.get(new ClaimKey(claim.getWorkspace(), claim.getKey()));
    if (existing == null) {
      return grant(claim);
    }
    if (!existing.getBodyHash().equals(claim.getBodyHash())) {
      return result(ClaimVerdict.CLAIM_VERDICT_KEY_REUSED);
    }
    if (existing.hasAnswer()) {
      return result(ClaimVerdict.CLAIM_VERDICT_DONE, existing);
    }
    boolean sameAttempt = existing.getToken().equals(claim.getToken());
    return result(
        sameAttempt ? ClaimVerdict.CLAIM_VERDICT_GRANTED : ClaimVerdict.CLAIM_VERDICT_RUNNING,
        existing);
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
    ClaimRecord existing = records.get(new ClaimKey(complete.getWorkspace(), complete.getKey()));
    if (existing == null
        || !existing.getToken().equals(complete.getToken())
        || existing.hasAnswer()) {
      return result(ClaimVerdict.CLAIM_VERDICT_UNSPECIFIED);
    }
    ClaimRecord completed = existing.toBuilder().setAnswer(complete.getAnswer()).build();
    store(completed);
    return result(ClaimVerdict.CLAIM_VERDICT_DONE, completed);
  }

  private ClaimResult release(ReleaseCommand release) {
    ClaimKey key = new ClaimKey(release.getWorkspace(), release.getKey());
    ClaimRecord existing = records.get(key);
    if (existing != null
        && existing.getToken().equals(release.getToken())
        && !existing.hasAnswer()) {
      remove(key);
    }
    return result(ClaimVerdict.CLAIM_VERDICT_UNSPECIFIED);
  }

  private void store(ClaimRecord record) {
    ClaimRecord previous =
        records.put(new ClaimKey(record.getWorkspace(), record.getKey()), record);
    recordBytes +=
        record.getSerializedSize() - (previous == null ? 0 : previous.getSerializedSize());
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
      // The key may have been released and then claimed by another attempt.
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
      throw new IllegalStateException(
          "ledger snapshot cannot be parsed; check that all hosts run compatible versions", e);
    }
  }
}
