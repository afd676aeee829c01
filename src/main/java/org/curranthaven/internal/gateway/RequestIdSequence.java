package org.curranthaven.internal.gateway;

import java.util.concurrent.atomic.AtomicLong;

/** Numbers of requests on one host, from 1. Thread-safe. */
public final class RequestIdSequence {
  private final AtomicLong next = new AtomicLong(1);

  /** Returns the next number. */
  public long next() {
    return next.getAndIncrement();
  }
}
