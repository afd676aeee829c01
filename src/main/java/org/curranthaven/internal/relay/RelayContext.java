package org.curranthaven.internal.relay;

import io.netty.channel.EventLoop;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.DataCentreRegions;
import org.curranthaven.internal.catalog.Route;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.jspecify.annotations.Nullable;

/** The services and state that all requests of a gateway share. Confined to the event loop. */
interface RelayContext {
  EventLoop loop();

  Clock clock();

  WireProtocol protocol();

  BackendPool pool();

  RequestPlacer placer();

  RequestForwarding forwarding();

  CrashProbe crashProbe();

  EndConfirmation endConfirmation();

  ResponseBuffers responseBuffers();

  BodyMemory bodyMemory();

  String dataCentre();

  /** Returns the regions of the data centres. */
  DataCentreRegions regions();

  /** Returns the active catalog. */
  Catalog catalog();

  /**
   * Returns whether the gateway has received a catalog and the backend servers, which it needs to
   * serve.
   */
  boolean isInitialized();

  /**
   * Runs an action once the gateway is initialized, or after the given delay if it still is not.
   */
  void whenInitialized(Runnable action, long maxDelayMillis);

  /** Returns whether the gateway is draining. */
  boolean isDraining();

  /**
   * Returns whether a request may be accepted, also while the gateway is draining.
   *
   * @param timeoutMillis longest time that the request may take
   */
  boolean mayAccept(long timeoutMillis);

  /** Returns the backend server with the given id, or null if it is unknown or removed. */
  @Nullable BackendRecord backend(String id);

  /** Returns a new id for a placement request. */
  long nextPlacementId();

  /** Returns a random number from 0 to 1 that selects the service of a request. */
  double nextRandom();

  /** Records the start of a request. */
  void requestOpened(RoutedRequest request);

  /** Records the end of a request. */
  void requestClosed(RoutedRequest request);

  /** Records the time of a first reply in the metrics. */
  void recordFirstReply(Route route, long firstReplyMillis);

  /** Counts a retry that the retry budget allowed or refused in the metrics. */
  void recordRetry(String service, boolean allowed);

  /** Counts a failed request in the metrics. */
  void recordFailure(Route route, ResultCode code);
}
