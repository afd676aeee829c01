package org.curranthaven.internal.configuration;

import java.util.List;

/**
 * A change that an operator asks for.
 *
 * @param changeId identifies the change, so that a resent one gets its first answer
 * @param baseRevision revision that the operator saw when making the change
 * @param operator who asks
 * @param edits what to change, all or nothing
 */
public record ConfigurationChange(
    String changeId, long baseRevision, String operator, List<Edit> edits) {
  public ConfigurationChange {
    if (changeId == null || changeId.isBlank()) {
      throw new IllegalArgumentException("changeId must not be blank");
    }
    operator = operator == null ? "" : operator;
    edits = edits == null ? List.of() : List.copyOf(edits);
  }
}
