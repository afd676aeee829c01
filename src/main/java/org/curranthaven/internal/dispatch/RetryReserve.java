package org.curranthaven.internal.dispatch;

/** The part of the reserve that one gateway may use for its retries. */
final class RetryReserve {
  private RetryReserve() {}

  /** Returns the retries that one of several gateways may send on the reserve in a window. */
  static double maxRetries(int requests, int gateways, RetryLimits limits) {
    double fixedRetries = limits.fixedRetries() / Math.max(1, gateways);
    return RetryAccounts.RESERVED_PART * (limits.ratio() * requests + fixedRetries);
  }

  /** Returns whether a gateway knows all retries on the reserve that it sent in the window. */
  static boolean remembers(long memoryMillis, RetryLimits limits) {
    return memoryMillis >= limits.windowMillis() + RetryWindow.bucketMillis(limits.windowMillis());
  }
}
