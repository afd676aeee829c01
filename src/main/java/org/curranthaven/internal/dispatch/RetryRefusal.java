package org.curranthaven.internal.dispatch;

/**
 * The first retry of a service in a window that its budget does not allow.
 *
 * @param requests requests that the budget counts in the window
 * @param retries retries that it counts in the window
 * @param maxRetries retries that it allows in the window
 * @param basis what the budget is a share of
 */
public record RetryRefusal(
    String service, int requests, int retries, double maxRetries, String basis) {
  @Override
  public String toString() {
    return "service %s: %d retries of %d requests, %.1f allowed (%s)"
        .formatted(service, retries, requests, maxRetries, basis);
  }
}
