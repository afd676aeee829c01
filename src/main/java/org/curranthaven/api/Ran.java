package org.curranthaven.api;

import java.util.Locale;

/** Whether a request that ended in an error ran on a backend server. */
public enum Ran {
  /**
   * No byte of the request can have reached a backend server, or the server rejected the request
   * before running it.
   */
  NO,
  /** The request ran, at least in part. */
  YES,
  /** The request may have run. */
  UNKNOWN;

  /** Returns the value as written in error bodies. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
