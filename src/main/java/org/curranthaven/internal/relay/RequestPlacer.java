package org.curranthaven.internal.relay;

import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.PlacementRequest;

/** Has calls placed on backend servers. Used on the event loop only. */
public interface RequestPlacer {
  /** Is told where a call runs. */
  interface PlacementListener {
    /** The call is to run on a backend server; another one may keep a copy of it. */
    void onPlaced(String backend, int urgency, String backup);

    /** The call is turned away. */
    void onRejected(long retryAfterMillis, String reason);

    /** The running call is to go on at another backend server. */
    void onMigrate(String target, String backup);

    /** Returns the call as it was asked for. */
    PlacementRequest placementRequest();

    /** Returns the output tokens that have come. */
    int outputTokens();

    /** Returns the backend server that the call runs on; empty while it waits. */
    String backend();
  }

  /** Asks for a place; the answer comes on the event loop, possibly at once. */
  void requestPlacement(PlacementRequest ask, PlacementListener placed);

  /** Notes that the first output of a call has come. */
  void reportProgress(long id, int outputTokens);

  /** Notes that a call no longer waits, or no longer runs where it was placed. */
  void reportEnd(long id, DispatchOutcome outcome, int outputTokens);
}
