package org.curranthaven.internal.catalog;

/** Whether the requests of a route may run more than once. */
public enum Repeatability {
  /** The request may run more than once. */
  IDEMPOTENT,
  /** The request runs at most once. */
  NON_IDEMPOTENT,
  /** The response is a stream of events; runs at most once unless the route is resumable. */
  STREAM
}
