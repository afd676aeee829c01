package org.curranthaven.internal.relay;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Abandons an attempt whose backend server sends nothing, although its connection stays open; has a
 * stream that stalls continued elsewhere. Confined to the event loop.
 */
final class ResponseWatch {
  /** Shortest time without a response after which a repeatable attempt is abandoned. */
  private static final long MIN_RESPONSE_TIMEOUT_MILLIS = 600;

  /**
   * Pause of a stream after which it is to continue on another engine; many times longer than a
   * normal pause.
   */
  private static final long STREAM_STALL_TIMEOUT_MILLIS = 1_500;

  private static final long MIN_CHECK_INTERVAL_MILLIS = 100;

  private final RelayContext context;
  private final Request request;
  private final Attempt attempt;

  /** The request that the attempt belongs to. */
  interface Request {
    /** Returns whether the request still depends on the attempt. */
    boolean isCurrent(Attempt attempt);

    /** Returns whether the request is being migrated, which may last longer than a pause. */
    boolean isMigrating();

    /** Handles a stream that has paused for too long; it may still continue. */
    void onStalled(Attempt attempt);

    boolean hasStreamStarted();

    /** Returns whether the caller takes events; if not, they are not read either. */
    boolean isCallerReading();

    /** Returns the time since the latest part of the response. */
    long pauseMillis(long nowMillis);
  }

  ResponseWatch(RelayContext context, Request request, Attempt attempt) {
    this.context = context;
    this.request = request;
    this.attempt = attempt;
  }

  /**
   * Abandons the attempt if no response is received within the first-reply target or {@link
   * #MIN_RESPONSE_TIMEOUT_MILLIS}, whichever is longer.
   */
  void awaitResponse(long targetMillis) {
    long timeoutMillis = Math.max(MIN_RESPONSE_TIMEOUT_MILLIS, targetMillis);
    schedule(() -> abandonIfUnresponsive(timeoutMillis), timeoutMillis);
  }

  /** Reports each pause of the stream of {@link #STREAM_STALL_TIMEOUT_MILLIS}. */
  void awaitEvents() {
    schedule(this::reportIfStalled, STREAM_STALL_TIMEOUT_MILLIS);
  }

  private void abandonIfUnresponsive(long timeoutMillis) {
    if (request.isCurrent(attempt) && !attempt.hasReceivedResponse()) {
      attempt.abandonUnresponsive(timeoutMillis);
    }
  }

  private void reportIfStalled() {
    if (!request.isCurrent(attempt)) {
      return;
    }
    long pauseMillis = request.pauseMillis(context.clock().nowMillis());
    boolean maySend =
        request.hasStreamStarted()
            && request.isCallerReading()
            && !request.isMigrating()
            && !attempt.hasEnded();
    long nextCheckMillis = STREAM_STALL_TIMEOUT_MILLIS;
    if (maySend && pauseMillis >= STREAM_STALL_TIMEOUT_MILLIS) {
      request.onStalled(attempt);
    } else if (maySend) {
      nextCheckMillis -= pauseMillis;
    }
    schedule(this::reportIfStalled, Math.max(MIN_CHECK_INTERVAL_MILLIS, nextCheckMillis));
  }

  private void schedule(Runnable check, long delayMillis) {
    if (attempt.hasEnded()) {
      return;
    }
    ScheduledFuture<?> timer = context.loop().schedule(check, delayMillis, TimeUnit.MILLISECONDS);
    // A timer keeps the attempt and its request with their bodies in memory.
    attempt.whenEnded(() -> timer.cancel(false));
  }
}
