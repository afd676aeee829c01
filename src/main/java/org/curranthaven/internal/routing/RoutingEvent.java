package org.curranthaven.internal.routing;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** What a {@link RoutingCore} is told. */
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
  /** A caller asked. */
  record Arrived(RequestAttributes request) implements RoutingEvent {}

  /** The caller of a request that was not yet dispatched has gone. */
  record Abandoned(long requestId) implements RoutingEvent {}

  /** A dispatched request has produced {@code tokens} tokens so far. */
  record Progressed(long requestId, int tokens) implements RoutingEvent {}

  /** A dispatched request has ended on its server. */
  record Finished(long requestId, int tokens, RequestOutcome ending) implements RoutingEvent {}

  /** A server reported its load. */
  record BackendReported(BackendReport report) implements RoutingEvent {}

  /** A server may not be used any longer. */
  record BackendRemoved(String server) implements RoutingEvent {}

  /** Another host told what it has open on servers. */
  record SharesReported(String host, ShareUpdate update) implements RoutingEvent {}

  /** Another host has gone, and what it had open with it. */
  record HostRemoved(String host) implements RoutingEvent {}

  /** A server's cache holds a prefix, or no longer does. */
  record PrefixCached(String server, long prefixHash, boolean present) implements RoutingEvent {}

  /** Time has passed. */
  record Tick() implements RoutingEvent {}

  /** How a request ended on its server. */
  enum RequestOutcome {
    /** The whole answer came. */
    COMPLETED,
    /** The caller has gone or the request was cancelled. */
    CANCELLED,
    /** The server refused to run it. */
    REFUSED,
    /** The server failed or was lost. */
    FAILED
  }
}
