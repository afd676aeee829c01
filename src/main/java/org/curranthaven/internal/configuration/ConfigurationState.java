package org.curranthaven.internal.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.curranthaven.api.Configuration;
import org.curranthaven.internal.transport.wire.ConfigurationDelta;
import org.jspecify.annotations.Nullable;

/**
 * Replicated configuration. A change applies only to the revision that it was made from; a change
 * whose id was seen before gets the result of the first attempt. Not thread-safe.
 */
public final class ConfigurationState {
  /** Maximum number of past results stored for changes that are sent again. */
  static final int MAX_STORED_RESULTS = 8_192;

  /** Maximum number of revisions stored in the history. */
  static final int MAX_HISTORY_ENTRIES = 1_000;

  private Configuration current = Configuration.empty();
  private final Map<String, ChangeResult> resultsByChangeId = new LinkedHashMap<>();
  private final List<HistoryEntry> history = new ArrayList<>();
  private final RecentChanges recentChanges = new RecentChanges();

  /**
   * State as written to snapshots.
   *
   * @param current latest configuration
   * @param answers past results by change id, oldest first
   * @param history stored revisions, oldest first
   */
  public record Snapshot(
      Configuration current, Map<String, ChangeResult> answers, List<HistoryEntry> history) {}

  /** Returns the latest configuration. */
  public Configuration current() {
    return current;
  }

  /** Returns the deltas after {@code revision}, or an empty list if some are no longer stored. */
  public List<ConfigurationDelta> deltasAfter(long revision) {
    return recentChanges.after(revision);
  }

  /** Returns the stored revisions, oldest first. */
  public List<HistoryEntry> history() {
    return List.copyOf(history);
  }

  /** Applies a change, or returns its stored result if it was seen before. */
  public ChangeResult apply(ConfigurationChange change) {
    ChangeResult storedResult = resultsByChangeId.get(change.changeId());
    if (storedResult != null) {
      return storedResult;
    }
    ChangeResult result = applyNew(change);
    resultsByChangeId.put(change.changeId(), result);
    if (resultsByChangeId.size() > MAX_STORED_RESULTS) {
      resultsByChangeId.remove(resultsByChangeId.keySet().iterator().next());
    }
    return result;
  }

  private ChangeResult applyNew(ConfigurationChange change) {
    if (change.baseRevision() != current.revision()) {
      HistoryEntry conflicting = historyEntryAfter(change.baseRevision());
      return new ChangeResult.Conflict(
          current.revision(),
          conflicting == null ? "" : conflicting.changeId(),
          conflicting == null ? "" : conflicting.operator());
    }
    ConfigurationEditor editor = new ConfigurationEditor(current);
    change.edits().forEach(editor::apply);
    List<String> faults = editor.faults();
    if (!faults.isEmpty()) {
      return new ChangeResult.Invalid(faults);
    }
    current = editor.build(current.revision() + 1);
    recentChanges.add(current.revision(), change.edits());
    history.add(
        new HistoryEntry(
            current.revision(), change.changeId(), change.operator(), change.edits().size()));
    if (history.size() > MAX_HISTORY_ENTRIES) {
      history.removeFirst();
    }
    return new ChangeResult.Committed(current.revision(), editor.warnings());
  }

  private @Nullable HistoryEntry historyEntryAfter(long revision) {
    return history.stream()
        .filter(entry -> entry.revision() == revision + 1)
        .findFirst()
        .orElse(null);
  }

  /** Returns a copy of the whole state. */
  public Snapshot snapshot() {
    return new Snapshot(current, new LinkedHashMap<>(resultsByChangeId), List.copyOf(history));
  }

  /** Replaces the whole state; the deltas of earlier changes are not part of a snapshot. */
  public void restore(Snapshot snapshot) {
    current = snapshot.current();
    recentChanges.clear();
    resultsByChangeId.clear();
    resultsByChangeId.putAll(snapshot.answers());
    history.clear();
    history.addAll(snapshot.history());
  }
}
