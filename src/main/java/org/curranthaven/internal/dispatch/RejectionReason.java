package org.curranthaven.internal.dispatch;

/** Reason for which a request was rejected. */
public enum RejectionReason {
  /** No backend server of the service is registered or usable. */
  NO_BACKEND,
  /** Capacity is not expected before the request's due time. */
  NO_ROOM_IN_TIME,
  /** The request is a retry, and the service's retry budget is exhausted. */
  RETRIES_USED_UP,
  /** Every usable backend server of the service was tried. */
  ALL_TRIED,
  /** The prompt does not fit into the memory of any engine of the service. */
  TOO_LARGE,
  /** Backend servers crashed on the request, or engines on a part of its prompt. */
  CRASHES_BACKENDS,
  /**
   * The request takes up a stream, and nobody knows which of several software versions began it, or
   * it began at another service.
   */
  STREAM_ORIGIN_UNKNOWN,
  /** The request takes up a stream, and no backend server has the software version of it. */
  STREAM_VERSION_GONE,
  /** No backend server is in the regions that the route and the workspace allow. */
  NO_BACKEND_IN_REGIONS
}
