package org.curranthaven.internal.emulator;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A fault of a day; times count from the start of the arrivals. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
  @JsonSubTypes.Type(value = Fault.EnginesTaken.class, name = "enginesTaken"),
  @JsonSubTypes.Type(value = Fault.EngineCrash.class, name = "engineCrash"),
  @JsonSubTypes.Type(value = Fault.EnginesSlow.class, name = "enginesSlow"),
  @JsonSubTypes.Type(value = Fault.Burst.class, name = "burst"),
  @JsonSubTypes.Type(value = Fault.HostsLost.class, name = "hostsLost")
})
public sealed interface Fault {
  /**
   * Engines are taken away after a notice, again and again.
   *
   * @param everyMillis time between two notices
   * @param engines number of engines taken away each time
   * @param noticeMillis shortest time from the notice to the end of an engine
   * @param noticeSpreadMillis random time added to it
   * @param replacementMillis time from the notice until an empty engine registers
   */
  record EnginesTaken(
      long fromMillis,
      long everyMillis,
      long untilMillis,
      int engines,
      long noticeMillis,
      long noticeSpreadMillis,
      long replacementMillis)
      implements Fault {}

  /**
   * Engines crash without notice.
   *
   * @param silent whether their connections stay open, so that only the pause of a stream shows it
   */
  record EngineCrash(long atMillis, int engines, boolean silent, long replacementMillis)
      implements Fault {}

  /** Engines take {@code factor} times as long for each step. */
  record EnginesSlow(long fromMillis, long untilMillis, int engines, double factor)
      implements Fault {}

  /** Requests of all kinds, or of one, arrive {@code factor} times as often. */
  record Burst(long fromMillis, long untilMillis, double factor, String requestKind)
      implements Fault {}

  /** All gateways and schedulers stop, and start again without their state. */
  record HostsLost(long atMillis, long downMillis) implements Fault {}
}
