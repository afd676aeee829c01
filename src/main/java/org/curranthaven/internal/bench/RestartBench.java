package org.curranthaven.internal.bench;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import org.curranthaven.api.Model;
import org.curranthaven.internal.configuration.ConfigurationChange;
import org.curranthaven.internal.configuration.Edit;
import org.curranthaven.internal.configuration.FleetCommand;
import org.curranthaven.internal.configuration.FleetState;
import org.curranthaven.internal.consensus.GroupStorage;
import org.curranthaven.internal.consensus.RaftDecision;
import org.curranthaven.internal.settings.Json;
import org.curranthaven.internal.transport.wire.EntryKind;
import org.curranthaven.internal.transport.wire.LogEntry;
import org.curranthaven.internal.transport.wire.SnapshotFile;

/** Measures how long a control host takes to load its state from disk after many changes. */
public final class RestartBench {
  private static final int[] CHANGE_COUNTS = {100, 1_000, 100_000};
  private static final int CHANGES_PER_SNAPSHOT = 4_000;

  private final Consumer<String> out;

  /** Creates the benchmark; each line of its report goes to {@code out}. */
  public RestartBench(Consumer<String> out) {
    this.out = out;
  }

  /** Runs the benchmark for each number of changes. */
  public void run() throws IOException {
    for (int changes : CHANGE_COUNTS) {
      Path folder = Files.createTempDirectory("curranthaven-");
      long bytes = writeChanges(folder, changes);
      long startNanos = System.nanoTime();
      FleetState state = new FleetState();
      try (GroupStorage storage = GroupStorage.open(folder)) {
        SnapshotFile snapshot = storage.loadedState().snapshot();
        if (snapshot.getLastIndex() > 0) {
          state.restore(snapshot.getState());
        }
        for (LogEntry entry : storage.loadedState().entries()) {
          state.apply(entry.getIndex(), entry.getData());
        }
      }
      double millis = (System.nanoTime() - startNanos) / 1e6;
      out.accept(
          "restart after %d changes: %.0f ms, revision %d, %d kB read"
              .formatted(changes, millis, state.current().revision(), bytes / 1_024));
    }
  }

  /** Writes changes with regular snapshots, and returns the size of the folder in bytes. */
  private static long writeChanges(Path folder, int changes) throws IOException {
    FleetState state = new FleetState();
    try (GroupStorage storage = GroupStorage.open(folder)) {
      for (int i = 1; i <= changes; i++) {
        ByteString command =
            Json.write(
                new FleetCommand.Change(
                    new ConfigurationChange(
                        "change-" + i,
                        i - 1,
                        "ama",
                        List.of(new Edit.PutModel(new Model("model-" + i % 40, 1 + i))))));
        LogEntry entry =
            LogEntry.newBuilder()
                .setIndex(i)
                .setTerm(1)
                .setKind(EntryKind.ENTRY_KIND_COMMAND)
                .setData(command)
                .build();
        state.apply(i, command);
        storage.persist(new RaftDecision.AppendEntries(List.of(entry)));
        if (i % CHANGES_PER_SNAPSHOT == 0) {
          SnapshotFile snapshot =
              SnapshotFile.newBuilder()
                  .setLastIndex(i)
                  .setLastTerm(1)
                  .setState(state.snapshot())
                  .build();
          storage.persist(new RaftDecision.SaveSnapshot(snapshot, false));
        }
      }
      storage.sync();
    }
    try (var files = Files.list(folder)) {
      return files.mapToLong(file -> file.toFile().length()).sum();
    }
  }
}
