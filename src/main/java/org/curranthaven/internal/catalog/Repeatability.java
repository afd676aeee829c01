package org.curranthaven.internal.catalog;

/** What may be repeated about the calls of a route. */
public enum Repeatability {
  /** May run more than once. */
  IDEMPOTENT,
  /** Runs at most once. */
  NON_IDEMPOTENT,
  /** A series of events; runs at most once unless the route lets it resume. */
  STREAM
}
