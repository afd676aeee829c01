package org.curranthaven.internal.relay;

import io.netty.channel.EventLoop;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.Route;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.jspecify.annotations.Nullable;

/** What the calls of a gateway share. Used on the event loop only. */
interface RelayContext {
  EventLoop loop();

  Clock clock();

  WireProtocol protocol();

  BackendPool pool();

  RequestPlacer placer();

  String dataCentre();

  /** Returns the catalog in force. */
  Catalog catalog();

  /** Returns whether the gateway knows enough to serve. */
  boolean isInitialized();

  /** Runs an action once the gateway knows enough to serve, or after the time all the same. */
  void whenInitialized(Runnable action, long mostMillis);

  /** Returns whether the gateway is being stopped. */
  boolean isDraining();

  /**
   * Returns whether a call may still be taken, though the gateway may be being stopped.
   *
   * @param allowedMillis longest time that the call may take
   */
  boolean mayAccept(long allowedMillis);

  /** Returns the backend server of the name, or null if it is gone. */
  @Nullable BackendRecord backend(String id);

  /** Returns a new number for a placement. */
  long nextPlacementId();

  /** Returns a number from 0 to 1 for a call's choice of service. */
  double nextRandom();

  /** Notes that a call has begun. */
  void requestOpened(RoutedRequest exchange);

  /** Notes that a call is over. */
  void requestClosed(RoutedRequest exchange);

  /** Counts a first reply. */
  void recordFirstReply(Route route, long firstReplyMillis);

  /** Counts a failure. */
  void recordFailure(Route route, ResultCode code);
}
