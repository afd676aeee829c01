package org.curranthaven.internal.configuration;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.curranthaven.internal.placement.PlacementCommand;

/** A command of group 0. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "command")
@JsonSubTypes({
  @JsonSubTypes.Type(value = FleetCommand.Change.class, name = "change"),
  @JsonSubTypes.Type(value = FleetCommand.Placement.class, name = "placement"),
})
public sealed interface FleetCommand {
  /** Changes the configuration. */
  record Change(ConfigurationChange change) implements FleetCommand {}

  /** Changes who may order engines, or what was ordered. */
  record Placement(PlacementCommand placement) implements FleetCommand {}
}
