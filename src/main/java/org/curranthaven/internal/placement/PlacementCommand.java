package org.curranthaven.internal.placement;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A command for the replicated {@link PlacementState}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "placement")
@JsonSubTypes({
  @JsonSubTypes.Type(value = PlacementCommand.Acquire.class, name = "acquire"),
  @JsonSubTypes.Type(value = PlacementCommand.Renew.class, name = "renew"),
  @JsonSubTypes.Type(value = PlacementCommand.RecordLoad.class, name = "recordLoad"),
})
public sealed interface PlacementCommand {
  /** Takes the lease for a host; {@code attempt} identifies the attempt. */
  record Acquire(String host, String attempt) implements PlacementCommand {}

  /** Extends the lease of the holder with this fencing number. */
  record Renew(long fencingNumber) implements PlacementCommand {}

  /** Counts a weight load against the weight store's rate, before the order is sent. */
  record RecordLoad(long fencingNumber, long nowMillis) implements PlacementCommand {}
}
