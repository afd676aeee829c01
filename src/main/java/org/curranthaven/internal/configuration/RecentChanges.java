package org.curranthaven.internal.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.curranthaven.api.Configuration;
import org.curranthaven.internal.settings.Json;
import org.curranthaven.internal.transport.wire.ConfigurationDelta;

/**
 * Latest configuration changes as deltas, so that a host that is a few revisions behind gets these
 * instead of the whole configuration. Not thread-safe.
 */
final class RecentChanges {
  /**
   * Maximum number of deltas stored; a host that is further behind gets the whole configuration.
   */
  static final int MAX_DELTAS = 512;

  private final Deque<ConfigurationDelta> deltas = new ArrayDeque<>();

  private record Edits(List<Edit> edits) {}

  void add(long revision, List<Edit> edits) {
    deltas.addLast(
        ConfigurationDelta.newBuilder()
            .setRevision(revision)
            .setEdits(Json.write(new Edits(edits)))
            .build());
    if (deltas.size() > MAX_DELTAS) {
      deltas.removeFirst();
    }
  }

  void clear() {
    deltas.clear();
  }

  /** Returns the deltas after {@code revision}, or an empty list if some are no longer stored. */
  List<ConfigurationDelta> after(long revision) {
    if (deltas.isEmpty() || deltas.getFirst().getRevision() > revision + 1) {
      return List.of();
    }
    List<ConfigurationDelta> result = new ArrayList<>();
    for (ConfigurationDelta delta : deltas) {
      if (delta.getRevision() > revision) {
        result.add(delta);
      }
    }
    return result;
  }

  /**
   * Returns the configuration with the delta applied, or {@code base} itself if the delta does not
   * directly follow it.
   */
  static Configuration apply(Configuration base, ConfigurationDelta delta) {
    if (delta.getRevision() != base.revision() + 1) {
      return base;
    }
    ConfigurationEditor editor = new ConfigurationEditor(base);
    Json.read(delta.getEdits(), Edits.class).edits().forEach(editor::apply);
    return editor.build(delta.getRevision());
  }
}
