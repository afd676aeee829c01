package org.curranthaven.internal.consensus;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;
import org.curranthaven.internal.transport.wire.HardState;
import org.curranthaven.internal.transport.wire.LogEntry;
import org.curranthaven.internal.transport.wire.LogRecord;
import org.curranthaven.internal.transport.wire.SnapshotFile;

/**
 * Persistent storage of one replica: a snapshot and log segments in one folder.
 *
 * <p>Writes go to the last segment and are durable once {@link #sync} returns. An incomplete record
 * that a crash left at the end of the last segment is removed on opening. A damaged record followed
 * by valid ones fails the opening with file and offset, since its contents may have been
 * acknowledged.
 *
 * <p>Not thread-safe.
 */
public final class GroupStorage implements Closeable {
  /** Size at which a segment is closed and a new one started, in bytes. */
  static final long SEGMENT_BYTES = 4L * 1024 * 1024;

  private static final String SNAPSHOT_NAME = "snapshot";
  private static final String SEGMENT_PREFIX = "log-";

  private final Path folder;
  private final ByteArrayOutputStream batch = new ByteArrayOutputStream();
  private FileChannel segment;
  private long segmentNumber;
  private long term;
  private String votedFor;
  private StoredState loadedState;

  private GroupStorage(
      Path folder, StoredState loadedState, long segmentNumber, FileChannel segment) {
    this.folder = folder;
    this.loadedState = loadedState;
    this.term = loadedState.term();
    this.votedFor = loadedState.votedFor();
    this.segmentNumber = segmentNumber;
    this.segment = segment;
  }

  /**
   * Opens the folder, creating it if missing, and reads its contents.
   *
   * @throws DamagedDataException if a record that was synced cannot be read back
   * @throws IOException if the folder cannot be read or written
   */
  public static GroupStorage open(Path folder) throws IOException {
    boolean isNew = !Files.exists(folder);
    Files.createDirectories(folder);
    SnapshotFile snapshot = readSnapshot(folder.resolve(SNAPSHOT_NAME));
    List<Path> segments = segments(folder);
    LogReplay replay = new LogReplay(snapshot);
    for (int i = 0; i < segments.size(); i++) {
      boolean last = i == segments.size() - 1;
      RecordFiles.readSegment(segments.get(i), last, replay::add);
    }
    long lastNumber = segments.isEmpty() ? 1 : segmentNumberOf(segments.getLast());
    StoredState state = replay.state(folder);
    FileChannel channel = openSegment(folder, lastNumber);
    GroupStorage storage = new GroupStorage(folder, state, lastNumber, channel);
    try {
      storage.completeOpening(isNew, replay.isLogReplaced());
    } catch (IOException e) {
      channel.close();
      throw e;
    }
    return storage;
  }

  private void completeOpening(boolean isNew, boolean logReplaced) throws IOException {
    if (isNew) {
      RecordFiles.syncFolder(folder);
      RecordFiles.syncFolder(Objects.requireNonNull(folder.toAbsolutePath().getParent()));
    }
    if (logReplaced) {
      discardEarlierEntries();
    }
  }

  /** Returns the state read when the folder was opened. */
  public StoredState loadedState() {
    return loadedState;
  }

  /** Releases the state read on opening to free its memory. */
  void releaseLoadedState() {
    loadedState = StoredState.empty();
  }

  /** Writes a decision, which is durable once {@link #sync} has returned. */
  public void persist(RaftDecision.Persist decision) throws IOException {
    switch (decision) {
      case RaftDecision.SaveHardState save -> saveHardState(save.term(), save.votedFor());
      case RaftDecision.AppendEntries append -> {
        for (LogEntry entry : append.entries()) {
          addToBatch(LogRecord.newBuilder().setEntry(entry).build());
        }
      }
      case RaftDecision.TruncateFrom truncate ->
          addToBatch(LogRecord.newBuilder().setTruncateFrom(truncate.index()).build());
      case RaftDecision.SaveSnapshot save -> saveSnapshot(save.snapshot(), save.replacesLog());
    }
  }

  /** Makes all decisions persisted so far durable. */
  public void sync() throws IOException {
    flush();
    segment.force(false);
    if (segment.size() >= SEGMENT_BYTES) {
      startSegment();
    }
  }

  @Override
  public void close() throws IOException {
    segment.close();
  }

  private void saveHardState(long newTerm, String newVotedFor) throws IOException {
    term = newTerm;
    votedFor = newVotedFor;
    addToBatch(hardState());
  }

  private LogRecord hardState() {
    return LogRecord.newBuilder()
        .setHardState(HardState.newBuilder().setTerm(term).setVotedFor(votedFor))
        .build();
  }

  /** Adds a record to the batch that the next {@link #flush} writes. */
  private void addToBatch(LogRecord record) throws IOException {
    record.writeDelimitedTo(batch);
  }

  /** Writes the batch under one checksum, so that a power loss keeps all of it or none. */
  private void flush() throws IOException {
    if (batch.size() > 0) {
      byte[] payload = batch.toByteArray();
      batch.reset();
      RecordFiles.write(segment, payload);
    }
  }

  private void saveSnapshot(SnapshotFile snapshot, boolean replacesLog) throws IOException {
    // The log entries that the snapshot covers must be durable before the snapshot replaces them.
    flush();
    segment.force(false);
    Path target = folder.resolve(SNAPSHOT_NAME);
    Path temporary = folder.resolve(SNAPSHOT_NAME + ".tmp");
    try (FileChannel channel =
        FileChannel.open(
            temporary,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      RecordFiles.write(channel, snapshot.toByteArray());
      channel.force(true);
    }
    Files.move(
        temporary, target, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    RecordFiles.syncFolder(folder);
    startSegment();
    if (replacesLog) {
      // Older segments may stay that are not deleted below.
      discardEarlierEntries();
    }
    deleteCoveredSegments(snapshot.getLastIndex());
  }

  /** Has the next replay discard all entries so far. */
  private void discardEarlierEntries() throws IOException {
    addToBatch(LogRecord.newBuilder().setTruncateFrom(0).build());
    flush();
    segment.force(false);
  }

  private void startSegment() throws IOException {
    FileChannel next = openSegment(folder, segmentNumber + 1);
    segment.close();
    segment = next;
    segmentNumber++;
    // Repeats the hard state, since the segments that contain it may be deleted.
    addToBatch(hardState());
    flush();
    segment.force(true);
    RecordFiles.syncFolder(folder);
  }

  private void deleteCoveredSegments(long snapshotIndex) throws IOException {
    for (Path path : segments(folder)) {
      if (segmentNumberOf(path) == segmentNumber || lastIndexIn(path) > snapshotIndex) {
        return;
      }
      Files.delete(path);
    }
  }

  private static long lastIndexIn(Path path) throws IOException {
    long[] lastIndex = new long[1];
    RecordFiles.readSegment(
        path,
        false,
        record -> {
          if (record.hasEntry()) {
            lastIndex[0] = record.getEntry().getIndex();
          }
        });
    return lastIndex[0];
  }

  private static SnapshotFile readSnapshot(Path path) throws IOException {
    if (!Files.exists(path)) {
      return SnapshotFile.getDefaultInstance();
    }
    ByteBuffer buffer = ByteBuffer.wrap(Files.readAllBytes(path));
    byte[] payload = RecordFiles.readRecord(buffer);
    if (payload == null) {
      throw new DamagedDataException(path, 0);
    }
    try {
      return SnapshotFile.parseFrom(payload);
    } catch (InvalidProtocolBufferException e) {
      throw new DamagedDataException(path, 0);
    }
  }

  private static FileChannel openSegment(Path folder, long number) throws IOException {
    return FileChannel.open(
        folder.resolve("%s%012d".formatted(SEGMENT_PREFIX, number)),
        StandardOpenOption.CREATE,
        StandardOpenOption.WRITE,
        StandardOpenOption.APPEND);
  }

  private static long segmentNumberOf(Path segment) {
    return Long.parseLong(segment.getFileName().toString().substring(SEGMENT_PREFIX.length()));
  }

  private static List<Path> segments(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .filter(path -> path.getFileName().toString().startsWith(SEGMENT_PREFIX))
          .sorted()
          .toList();
    }
  }

  /**
   * Rebuilds the state of a replica by replaying its log records in order. A snapshot that replaced
   * a log with other entries may have been stored without the record that discards these, where the
   * disk was full or the process ended in between; the term of its last entry then tells.
   */
  private static final class LogReplay {
    private final SnapshotFile snapshot;
    private final List<LogEntry> entries = new ArrayList<>();
    private long term;
    private String votedFor = "";

    /** Whether the entries that follow come after another entry than the last of the snapshot. */
    private boolean logReplaced;

    LogReplay(SnapshotFile snapshot) {
      this.snapshot = snapshot;
    }

    void add(LogRecord record) {
      switch (record.getBodyCase()) {
        case ENTRY -> addEntry(record.getEntry());
        case HARD_STATE -> {
          term = record.getHardState().getTerm();
          votedFor = record.getHardState().getVotedFor();
        }
        case TRUNCATE_FROM -> truncateFrom(record.getTruncateFrom());
        case BODY_NOT_SET -> {}
      }
    }

    private void addEntry(LogEntry entry) {
      truncateFrom(entry.getIndex());
      if (entry.getIndex() == snapshot.getLastIndex()) {
        logReplaced = entry.getTerm() != snapshot.getLastTerm();
      }
      if (entry.getIndex() > snapshot.getLastIndex() && !logReplaced) {
        entries.add(entry);
      }
    }

    boolean isLogReplaced() {
      return logReplaced;
    }

    private void truncateFrom(long index) {
      logReplaced = logReplaced && index > snapshot.getLastIndex();
      while (!entries.isEmpty() && entries.getLast().getIndex() >= index) {
        entries.removeLast();
      }
    }

    StoredState state(Path folder) throws DamagedDataException {
      long firstIndex = entries.isEmpty() ? 0 : entries.getFirst().getIndex();
      if (firstIndex > snapshot.getLastIndex() + 1) {
        // Entries before the first one are missing, so the snapshot that covered them was lost.
        throw new DamagedDataException(folder.resolve(SNAPSHOT_NAME), 0);
      }
      return new StoredState(term, votedFor, snapshot, entries);
    }
  }
}
