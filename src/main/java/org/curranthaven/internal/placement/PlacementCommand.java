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
  /**
   * Acquires the lease for a host, also from another holder; {@code attempt} makes a repeated
   * command idempotent.
   */
  record Acquire(String host, String attempt) implements PlacementCommand {}

  /**
   * Checks whether the sender with this fencing number still holds the lease, which does not
   * expire; leaves the state unchanged.
   */
  record Renew(long fencingNumber) implements PlacementCommand {}

  /** Counts a load of model weights against the weight store's rate limit, before it is ordered. */
  record RecordLoad(long fencingNumber, long nowMillis) implements PlacementCommand {}
}
