package org.curranthaven.internal.relay;

import org.curranthaven.api.Failure;
import org.curranthaven.api.ResultCode;

/** Why a gateway rejects a request before it is placed; none of them has run. */
final class CallerFailures {
  /** Time after which a large body that found no room may find some. */
  private static final long BODY_RETRY_AFTER_MILLIS = 1_000;

  private static final long NOT_INITIALIZED_RETRY_AFTER_MILLIS = 1_000;

  private CallerFailures() {}

  static Failure memoryInUse() {
    return Failure.retryLater(
        ResultCode.SHED,
        "the request was rejected before it ran: all memory for requests is in use; retry later",
        BODY_RETRY_AFTER_MILLIS);
  }

  static Failure noRoomForBody(long bytes) {
    return Failure.retryLater(
        ResultCode.SHED,
        "the request was rejected before it ran: its body of up to "
            + bytes
            + " bytes found no room among the bodies that this host holds; retry later",
        BODY_RETRY_AFTER_MILLIS);
  }

  static Failure notInitialized() {
    return Failure.retryLater(
        ResultCode.HOST_NOT_FRESH,
        "this host has not received the catalog yet; retry later or at another host",
        NOT_INITIALIZED_RETRY_AFTER_MILLIS);
  }

  static Failure draining() {
    return Failure.retryLater(
        ResultCode.HOST_DRAINING,
        "this host is shutting down; retry on a new connection",
        DrainRules.RETRY_AFTER_MILLIS);
  }

  /** Returns what another gateway is told that has sent a request here in vain. */
  static Failure misdirected() {
    return Failure.of(ResultCode.NO_BACKEND, "this host reaches no backend server either");
  }
}
