package org.curranthaven.internal.cli;

import java.util.concurrent.atomic.AtomicInteger;

/** Prints how many runs of an experiment have ended, on standard error. Thread-safe. */
final class RunProgress {
  private final int total;
  private final AtomicInteger ended = new AtomicInteger();

  RunProgress(int total) {
    this.total = total;
  }

  void runEnded() {
    int count = ended.incrementAndGet();
    System.err.printf("\r%d of %d runs%s", count, total, count == total ? "\n" : "");
  }
}
