package org.curranthaven.internal.dispatch;

/**
 * Limits on the retries of one service, over all callers.
 *
 * @param ratio retries allowed per request
 * @param fixedRetries retries allowed per window in addition to the ratio
 * @param windowMillis length of the sliding window
 */
public record RetryLimits(double ratio, double fixedRetries, long windowMillis) {}
