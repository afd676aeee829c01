package org.curranthaven.internal.configuration;

import java.util.List;

/**
 * A configuration change requested by an operator.
 *
 * @param changeId identifies the change, so that a repeated request gets the result of the first
 * @param baseRevision revision that the change was made from
 * @param operator name of the operator; empty if not given
 * @param edits edits, applied all or none
 */
public record ConfigurationChange(
    String changeId, long baseRevision, String operator, List<Edit> edits) {
  public ConfigurationChange {
    if (changeId == null || changeId.isBlank()) {
      throw new IllegalArgumentException(
          "changeId is missing or blank; give each change its own id");
    }
    operator = operator == null ? "" : operator;
    edits = edits == null ? List.of() : List.copyOf(edits);
  }
}
