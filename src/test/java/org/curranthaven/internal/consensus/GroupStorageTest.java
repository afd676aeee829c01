package org.curranthaven.internal.consensus;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.transport.wire.EntryKind;
import org.curranthaven.internal.transport.wire.LogEntry;
import org.curranthaven.internal.transport.wire.SnapshotFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class GroupStorageTest {
  @TempDir Path folder;

  static LogEntry entry(long index, String text) {
    return LogEntry.newBuilder()
        .setIndex(index)
        .setTerm(1)
        .setKind(EntryKind.ENTRY_KIND_COMMAND)
        .setData(ByteString.copyFromUtf8(text))
        .build();
  }

  private void writeEntries(int from, int to) throws IOException {
    try (GroupStorage storage = GroupStorage.open(folder)) {
      for (int i = from; i <= to; i++) {
        storage.persist(new RaftDecision.AppendEntries(List.of(entry(i, "command " + i))));
      }
      storage.persist(new RaftDecision.SaveHardState(7, "b"));
      storage.sync();
    }
  }

  private StoredState readState() throws IOException {
    try (GroupStorage storage = GroupStorage.open(folder)) {
      return storage.loadedState();
    }
  }

  private Path lastSegment() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .filter(file -> file.getFileName().toString().startsWith("log-"))
          .max(Path::compareTo)
          .orElseThrow();
    }
  }

  @Test
  void synced_state_is_read_back_after_a_restart() throws IOException {
    writeEntries(1, 20);

    StoredState state = readState();

    assertThat(state.entries()).hasSize(20);
    assertThat(state.term()).isEqualTo(7);
    assertThat(state.votedFor()).isEqualTo("b");
  }

  @Test
  void an_incomplete_record_at_the_end_is_removed() throws IOException {
    writeEntries(1, 20);
    writeEntries(21, 21);
    Path segment = lastSegment();
    byte[] bytes = Files.readAllBytes(segment);
    Files.write(segment, java.util.Arrays.copyOf(bytes, bytes.length - 3));

    assertThat(readState().entries()).hasSizeBetween(20, 21);
    writeEntries(22, 22);
    assertThat(readState().entries().getLast().getIndex()).isEqualTo(22);
  }

  @Test
  void a_batch_of_which_a_power_loss_kept_only_the_last_part_is_removed() throws IOException {
    writeEntries(1, 20);
    long syncedBytes = Files.size(lastSegment());
    writeEntries(21, 23);
    Path segment = lastSegment();
    byte[] bytes = Files.readAllBytes(segment);
    for (int i = (int) syncedBytes; i < syncedBytes + 24; i++) {
      bytes[i] = 0;
    }
    Files.write(segment, bytes);

    assertThat(readState().entries()).hasSize(20);
    writeEntries(21, 22);
    assertThat(readState().entries().getLast().getIndex()).isEqualTo(22);
  }

  @Test
  void a_damaged_record_before_valid_ones_is_reported_with_file_and_offset() throws IOException {
    writeEntries(1, 10);
    writeEntries(11, 20);
    Path segment = lastSegment();
    byte[] bytes = Files.readAllBytes(segment);
    bytes[40] ^= 0x55;
    Files.write(segment, bytes);

    assertThatThrownBy(this::readState)
        .isInstanceOf(DamagedDataException.class)
        .hasMessageContaining(segment.toString())
        .hasMessageContaining("offset");
  }

  @Test
  void a_missing_snapshot_is_reported_as_damage() throws IOException {
    writeEntries(1, 20);
    try (GroupStorage storage = GroupStorage.open(folder)) {
      SnapshotFile snapshot = SnapshotFile.newBuilder().setLastIndex(15).setLastTerm(1).build();
      storage.persist(new RaftDecision.SaveSnapshot(snapshot, false));
      for (int i = 21; i <= 25; i++) {
        storage.persist(new RaftDecision.AppendEntries(List.of(entry(i, "later"))));
      }
      SnapshotFile next = SnapshotFile.newBuilder().setLastIndex(24).setLastTerm(1).build();
      storage.persist(new RaftDecision.SaveSnapshot(next, false));
      storage.persist(new RaftDecision.AppendEntries(List.of(entry(26, "last"))));
      storage.sync();
    }
    Files.delete(folder.resolve("snapshot"));

    assertThatThrownBy(this::readState).isInstanceOf(DamagedDataException.class);
  }

  @Test
  void a_snapshot_replaces_the_entries_it_covers() throws IOException {
    writeEntries(1, 20);
    try (GroupStorage storage = GroupStorage.open(folder)) {
      SnapshotFile snapshot = SnapshotFile.newBuilder().setLastIndex(15).setLastTerm(1).build();
      storage.persist(new RaftDecision.SaveSnapshot(snapshot, false));
      storage.sync();
    }

    StoredState state = readState();

    assertThat(state.snapshot().getLastIndex()).isEqualTo(15);
    assertThat(state.entries()).hasSize(5);
    assertThat(state.term()).isEqualTo(7);
  }

  /** Guards against entries that come back after a leader's snapshot has replaced the log. */
  @Test
  void entries_that_a_snapshot_replaced_stay_removed_if_the_disk_was_full_after_it()
      throws IOException {
    writeEntries(1, 20);
    Path nextSegment = folder.resolve("log-000000000002");
    SnapshotFile snapshot = SnapshotFile.newBuilder().setLastIndex(10).setLastTerm(2).build();
    try (GroupStorage storage = GroupStorage.open(folder)) {
      Files.createDirectory(nextSegment);
      assertThatThrownBy(() -> storage.persist(new RaftDecision.SaveSnapshot(snapshot, true)))
          .isInstanceOf(IOException.class);
    } finally {
      Files.delete(nextSegment);
    }

    assertThat(readState().snapshot().getLastIndex()).isEqualTo(10);
    assertThat(readState().entries()).isEmpty();
    assertThat(readState().term()).isEqualTo(7);
    writeEntries(11, 12);
    assertThat(readState().entries()).hasSize(2);
  }

  @Test
  void truncated_entries_stay_removed_after_a_restart() throws IOException {
    writeEntries(1, 20);
    try (GroupStorage storage = GroupStorage.open(folder)) {
      storage.persist(new RaftDecision.TruncateFrom(11));
      storage.persist(new RaftDecision.AppendEntries(List.of(entry(11, "new"))));
      storage.sync();
    }

    assertThat(readState().entries()).hasSize(11);
    assertThat(readState().entries().getLast().getData().toStringUtf8()).isEqualTo("new");
  }

  @Test
  void a_wiped_folder_gets_a_new_identity() throws IOException {
    Path data = Files.createDirectory(folder.resolve("data"));
    String before = identityOf(data);
    assertThat(identityOf(data)).isEqualTo(before);

    Files.delete(data.resolve("identity"));

    assertThat(identityOf(data)).isNotEqualTo(before);
  }

  private static String identityOf(Path path) throws IOException {
    if (DataFolder.open(path) instanceof Outcome.Success<DataFolder> success) {
      try (DataFolder data = success.value()) {
        return data.identity();
      }
    }
    throw new IOException("the folder could not be opened");
  }

  @Test
  void a_damaged_data_folder_fails_to_open_with_the_code_data_damaged() throws IOException {
    Path data = Files.createDirectory(folder.resolve("data"));
    identityOf(data);
    Path group = Files.createDirectory(data.resolve("group-0"));
    try (GroupStorage storage = GroupStorage.open(group)) {
      storage.persist(new RaftDecision.AppendEntries(List.of(entry(1, "a"))));
      storage.sync();
      storage.persist(new RaftDecision.AppendEntries(List.of(entry(2, "b"))));
      storage.sync();
    }
    Path segment = group.resolve("log-000000000001");
    byte[] bytes = Files.readAllBytes(segment);
    bytes[10] ^= 0x55;
    Files.write(segment, bytes);

    assertThat(DataFolder.open(data))
        .isInstanceOfSatisfying(
            Outcome.Failed.class,
            failed -> assertThat(failed.failure().code()).isEqualTo(ResultCode.DATA_DAMAGED));
  }

  @Test
  void a_data_folder_in_use_fails_to_open_with_the_code_data_folder_locked() throws IOException {
    Path data = Files.createDirectory(folder.resolve("data"));
    if (DataFolder.open(data) instanceof Outcome.Success<DataFolder> first) {
      Outcome<DataFolder> second = DataFolder.open(data);
      first.value().close();

      assertThat(second)
          .isInstanceOfSatisfying(
              Outcome.Failed.class,
              failed ->
                  assertThat(failed.failure().code()).isEqualTo(ResultCode.DATA_FOLDER_LOCKED));
    }
  }

  @Test
  void an_unusable_data_folder_fails_to_open_with_the_code_storage_failed() throws IOException {
    Path file = Files.writeString(folder.resolve("file"), "x", StandardOpenOption.CREATE);

    assertThat(DataFolder.open(file))
        .isInstanceOfSatisfying(
            Outcome.Failed.class,
            failed -> assertThat(failed.failure().code()).isEqualTo(ResultCode.STORAGE_FAILED));
  }
}
