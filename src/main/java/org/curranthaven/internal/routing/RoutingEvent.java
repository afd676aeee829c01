package org.curranthaven.internal.routing;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** Input of a {@link RoutingCore}. Traces contain events as JSON, with the type names below. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "event")
@JsonSubTypes({
  @JsonSubTypes.Type(value = RoutingEvent.Arrived.class, name = "arrived"),
  @JsonSubTypes.Type(value = RoutingEvent.Abandoned.class, name = "abandoned"),
  @JsonSubTypes.Type(value = RoutingEvent.Progressed.class, name = "progressed"),
  @JsonSubTypes.Type(value = RoutingEvent.Finished.class, name = "finished"),
  @JsonSubTypes.Type(value = RoutingEvent.BackendReported.class, name = "serverReported"),
  @JsonSubTypes.Type(value = RoutingEvent.BackendRemoved.class, name = "serverGone"),
  @JsonSubTypes.Type(value = RoutingEvent.SharesReported.class, name = "sharesReported"),
  @JsonSubTypes.Type(value = RoutingEvent.HostRemoved.class, name = "hostGone"),
  @JsonSubTypes.Type(value = RoutingEvent.PrefixCached.class, name = "prefixCached"),
  @JsonSubTypes.Type(value = RoutingEvent.Tick.class, name = "tick"),
})
public sealed interface RoutingEvent {
  /** A request has arrived. */
  record Arrived(RequestAttributes request) implements RoutingEvent {}

  /** The caller of a request that is not yet dispatched no longer waits for it. */
  record Abandoned(long requestId) implements RoutingEvent {}

  /** A dispatched request has produced {@code tokens} tokens so far. */
  record Progressed(long requestId, int tokens) implements RoutingEvent {}

  /**
   * A dispatched request has ended on its backend server.
   *
   * @param tokens number of output tokens produced
   * @param ending outcome of the request
   */
  record Finished(long requestId, int tokens, RequestOutcome ending) implements RoutingEvent {}

  /** A backend server has reported its load. */
  record BackendReported(BackendReport report) implements RoutingEvent {}

  /** A backend server is no longer available. */
  record BackendRemoved(String server) implements RoutingEvent {}

  /** Another host has sent an update of its open requests. */
  record SharesReported(String host, ShareUpdate update) implements RoutingEvent {}

  /** Another host was removed, and its open requests with it. */
  record HostRemoved(String host) implements RoutingEvent {}

  /**
   * A prefix was added to or evicted from a backend server's cache.
   *
   * @param present whether the cache now contains the prefix
   */
  record PrefixCached(String server, long prefixHash, boolean present) implements RoutingEvent {}

  /** Periodic event: updates statistics, sheds requests and retries queued ones. */
  record Tick() implements RoutingEvent {}

  /** Outcome of a dispatched request on its backend server. */
  enum RequestOutcome {
    /** The complete response was received. */
    COMPLETED,
    /**
     * The caller disconnected, the attempt was cancelled, or the engine found the request invalid;
     * says nothing about the health of the backend server.
     */
    CANCELLED,
    /** The backend server rejected the request, or no connection to it could be established. */
    REFUSED,
    /** The backend server failed or the connection to it was lost. */
    FAILED
  }
}
