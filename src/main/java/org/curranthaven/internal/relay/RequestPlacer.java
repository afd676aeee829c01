package org.curranthaven.internal.relay;

import org.curranthaven.internal.dispatch.BackendStatements;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.jspecify.annotations.Nullable;

/** Requests the placement of requests on backend servers. Confined to the event loop. */
public interface RequestPlacer {
  /** A request to place; receives the placement decisions for it. */
  interface PlacementListener {
    /**
     * Handles a placement: the request runs on {@code backend}, and {@code backup}, unless empty,
     * keeps its backup copy.
     */
    void onPlaced(String backend, int urgency, String backup);

    /** Handles the rejection of the request. */
    void onRejected(long retryAfterMillis, String reason);

    /** Handles a decision to migrate the running request to {@code target}. */
    void onMigrate(String target, String backup);

    /**
     * Handles a decision to stop the running request.
     *
     * @param retryAfterMillis time after which the request may be placed again
     */
    void onStopped(long retryAfterMillis, String reason);

    /** Returns the placement request. */
    PlacementRequest placementRequest();

    /** Returns the number of output tokens received so far. */
    int outputTokens();

    /** Returns the backend server that the request runs on; empty while it is queued. */
    String backend();

    /** Returns the backend server that keeps its backup copy; empty for none. */
    String backup();

    /** Returns the software version that began the stream of the response; null until then. */
    @Nullable String streamVersion();

    /** Returns the migration in progress; {@link Migration#NONE} if there is none. */
    Migration migration();
  }

  /**
   * Requests a placement. The listener is called on the event loop, possibly before this method
   * returns.
   */
  void requestPlacement(PlacementRequest placementRequest, PlacementListener listener);

  /** Reports the first output of a request. */
  void reportProgress(long id, int outputTokens);

  /** Reports a backend server that closed a connection early and refuses new ones. */
  void reportCrash(String backend);

  /**
   * Reports what a response states about its backend server.
   *
   * @param id id of the placement request of the attempt
   * @param attemptStartedAtMillis when the attempt was started
   */
  void reportStatements(
      long id, String backend, BackendStatements stated, long attemptStartedAtMillis);

  /**
   * Returns whether the backend server has stated to this gateway that it takes no requests, or is
   * in an evacuated data centre.
   */
  boolean isRefusing(String backend);

  /**
   * Returns whether nothing may be sent to the backend server since its data centre is evacuated.
   */
  boolean isEvacuated(BackendRecord backend);

  /**
   * Returns how long the request is blocked because backend servers crash on it or on a part of its
   * prompt; 0 if it is not.
   */
  long blockedMillis(PlacementRequest placementRequest);

  /** Reports that a request is no longer queued, or no longer runs where it was placed. */
  void reportEnd(long id, DispatchOutcome outcome, int outputTokens);
}
