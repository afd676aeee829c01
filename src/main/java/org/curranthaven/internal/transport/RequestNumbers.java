package org.curranthaven.internal.transport;

import java.security.SecureRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Numbers of the requests that a process sends to other hosts, by which it knows their replies. The
 * first one is random: a reply is sent to a host's name, and may reach a later process of that name
 * than the one that sent the request. Thread-safe.
 */
public final class RequestNumbers {
  /** Leaves 48 bits: too many for two processes to meet, and short in a message. */
  private static final int UNUSED_BITS = 16;

  private final AtomicLong next = new AtomicLong(new SecureRandom().nextLong() >>> UNUSED_BITS);

  /** Returns a number that this process has not used. */
  public long next() {
    return next.getAndIncrement();
  }
}
