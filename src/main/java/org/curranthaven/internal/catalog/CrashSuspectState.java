package org.curranthaven.internal.catalog;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.curranthaven.internal.transport.wire.SuspectRecord;

/**
 * Replicated suspects, the parts of prompts and the requests under which backend servers crashed,
 * as the leader last recorded them. Not thread-safe.
 */
public final class CrashSuspectState {
  private Snapshot latest = Snapshot.EMPTY;

  /**
   * Suspects at one moment.
   *
   * @param recordedAtEpochMillis when they were recorded, by the wall clock of the leader; the
   *     times in the records are ages at that moment
   * @param suspects serialized {@link SuspectRecord}s
   */
  public record Snapshot(long recordedAtEpochMillis, List<byte[]> suspects) {
    /** State before the first crash. */
    public static final Snapshot EMPTY = new Snapshot(0, List.of());

    public Snapshot {
      suspects = List.copyOf(suspects);
    }

    /** Returns a snapshot of the given suspects. */
    public static Snapshot of(Collection<SuspectRecord> suspects, long epochMillis) {
      return new Snapshot(epochMillis, suspects.stream().map(SuspectRecord::toByteArray).toList());
    }

    /**
     * Returns the suspects.
     *
     * @throws UncheckedIOException if they cannot be decoded
     */
    public List<SuspectRecord> decoded() {
      List<SuspectRecord> decoded = new ArrayList<>();
      for (byte[] suspect : suspects) {
        try {
          decoded.add(SuspectRecord.parseFrom(ByteString.copyFrom(suspect)));
        } catch (InvalidProtocolBufferException e) {
          throw new UncheckedIOException(e);
        }
      }
      return decoded;
    }
  }

  /** Replaces the suspects; returns how many there are. */
  public int replace(Snapshot newer) {
    latest = newer;
    return newer.suspects().size();
  }

  /** Returns a snapshot of the state. */
  public Snapshot snapshot() {
    return latest;
  }

  /** Replaces the state by a snapshot. */
  public void restore(Snapshot snapshot) {
    latest = snapshot;
  }
}
