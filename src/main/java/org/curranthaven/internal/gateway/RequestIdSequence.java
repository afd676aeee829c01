package org.curranthaven.internal.gateway;

import java.util.concurrent.atomic.AtomicLong;

/** Generates the request numbers of one host, from 1. Thread-safe. */
public final class RequestIdSequence {
  private final AtomicLong next = new AtomicLong(1);

  /** Returns the next request number. */
  public long next() {
    return next.getAndIncrement();
  }
}
