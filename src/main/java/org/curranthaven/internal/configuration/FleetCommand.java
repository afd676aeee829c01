package org.curranthaven.internal.configuration;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.curranthaven.internal.placement.PlacementCommand;

/** A command of group 0. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "command")
@JsonSubTypes({
  @JsonSubTypes.Type(value = FleetCommand.Change.class, name = "change"),
  @JsonSubTypes.Type(value = FleetCommand.Placement.class, name = "placement"),
  @JsonSubTypes.Type(value = FleetCommand.ReplaceCatalog.class, name = "replaceCatalog"),
  @JsonSubTypes.Type(value = FleetCommand.ReadCatalog.class, name = "readCatalog"),
})
public sealed interface FleetCommand {
  /** Changes the configuration. */
  record Change(ConfigurationChange change) implements FleetCommand {}

  /** Replaces the catalog document, unless its revision is not above the one held. */
  @SuppressWarnings("ArrayRecordComponent")
  record ReplaceCatalog(long revision, byte[] document) implements FleetCommand {}

  /** Changes nothing; once it is applied, the leader's state is known to be the newest. */
  record ReadCatalog() implements FleetCommand {}

  /** Changes who may order engines, or what was ordered. */
  record Placement(PlacementCommand placement) implements FleetCommand {}
}
