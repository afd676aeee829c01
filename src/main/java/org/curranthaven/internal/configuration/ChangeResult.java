package org.curranthaven.internal.configuration;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** Answer to a {@link ConfigurationChange}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "result")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ChangeResult.Committed.class, name = "committed"),
  @JsonSubTypes.Type(value = ChangeResult.Conflict.class, name = "conflict"),
  @JsonSubTypes.Type(value = ChangeResult.Invalid.class, name = "invalid"),
})
public sealed interface ChangeResult {
  /**
   * The change is revision {@code revision}; {@code warnings} name targets that look unreachable.
   */
  record Committed(long revision, List<String> warnings) implements ChangeResult {}

  /** Another change was first; {@code operator} made it, with id {@code changeId}. */
  record Conflict(long currentRevision, String changeId, String operator) implements ChangeResult {}

  /** The change would leave the configuration unsound; every fault is listed. */
  record Invalid(List<String> faults) implements ChangeResult {}
}
