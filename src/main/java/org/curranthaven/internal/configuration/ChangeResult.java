package org.curranthaven.internal.configuration;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** Result of a {@link ConfigurationChange}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "result")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ChangeResult.Committed.class, name = "committed"),
  @JsonSubTypes.Type(value = ChangeResult.Conflict.class, name = "conflict"),
  @JsonSubTypes.Type(value = ChangeResult.Invalid.class, name = "invalid"),
})
public sealed interface ChangeResult {
  /**
   * The change was committed.
   *
   * @param revision revision that the change created
   * @param warnings targets that probably cannot be met
   */
  record Committed(long revision, List<String> warnings) implements ChangeResult {}

  /**
   * The change was rejected because the configuration has changed since its base revision.
   *
   * @param currentRevision latest revision
   * @param changeId id of the change that followed the base revision; empty if no longer known
   * @param operator operator who made that change; empty if no longer known
   */
  record Conflict(long currentRevision, String changeId, String operator) implements ChangeResult {}

  /**
   * The change was rejected because it would make the configuration invalid.
   *
   * @param faults every fault found
   */
  record Invalid(List<String> faults) implements ChangeResult {}
}
