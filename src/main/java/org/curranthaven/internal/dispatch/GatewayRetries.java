package org.curranthaven.internal.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.curranthaven.internal.transport.wire.RetryCount;

/**
 * The requests and retries that a gateway sent, whoever decided on them. They outlast each loss of
 * the scheduler; while there is none, the gateway allows retries on its part of the reserve. Not
 * thread-safe.
 *
 * <pre>{@code
 * retries.requestArrived("plain", limits, nowMillis);
 * retries.retryPlaced("plain", false, limits, nowMillis);
 * status.addAllRetryCounts(retries.export(nowMillis));
 * }</pre>
 */
public final class GatewayRetries implements RetryAccounts {
  /** Buckets that are reported together, to keep the report short. */
  private static final int REPORTED_BUCKETS = 5;

  private final Map<String, RetryWindow> windows = new HashMap<>();
  private final WaitingRetries waiting = new WaitingRetries();
  private final RetryRefusals refusals = new RetryRefusals();
  private final long startedAtMillis;
  private int mostGateways = 1;

  /**
   * Creates empty accounts.
   *
   * @param startedAtMillis when the gateway started; what it sent before, it has forgotten
   */
  public GatewayRetries(long startedAtMillis) {
    this.startedAtMillis = startedAtMillis;
  }

  /**
   * Takes over the number of gateways; the highest divides the reserve as long as this one runs.
   */
  public void recordGateways(int count) {
    mostGateways = Math.max(mostGateways, count);
  }

  /** Returns the highest number of gateways that was known. */
  public int mostGateways() {
    return mostGateways;
  }

  /** Returns the time for which this gateway remembers all that it sent. */
  public long memoryMillis(long nowMillis) {
    return Math.max(0, nowMillis - startedAtMillis);
  }

  /** Counts a request of a caller. */
  public void requestArrived(String service, RetryLimits limits, long nowMillis) {
    windowOf(service, limits).addRequests(1, nowMillis, nowMillis);
  }

  /** Counts a retry that a scheduler placed. */
  public void retryPlaced(String service, boolean onReserve, RetryLimits limits, long nowMillis) {
    windowOf(service, limits).addRetries(1, onReserve ? 1 : 0, nowMillis, nowMillis);
  }

  private RetryWindow windowOf(String service, RetryLimits limits) {
    return windows.computeIfAbsent(service, key -> new RetryWindow(limits.windowMillis()));
  }

  /** Does nothing: {@link #requestArrived} counts each request, whoever places it. */
  @Override
  public void recordRequest(
      RequestId requestId, String service, RetryLimits limits, long nowMillis) {}

  @Override
  public boolean tryRetry(RequestId requestId, String service, RetryLimits limits, long nowMillis) {
    RetryWindow window = windowOf(service, limits);
    RetryWindow.Sums sums = window.sums(nowMillis);
    boolean remembersWindow = RetryReserve.remembers(memoryMillis(nowMillis), limits);
    double maxRetries =
        remembersWindow ? RetryReserve.maxRetries(sums.requests(), mostGateways, limits) : 0;
    int counted = sums.reserveRetries() + waiting.count(service);
    if (counted + 1 > maxRetries) {
      refusals.record(
          service,
          () ->
              new RetryRefusal(
                  service,
                  sums.requests(),
                  counted,
                  maxRetries,
                  "reserve of one of " + mostGateways + " gateways"),
          limits,
          nowMillis);
      return false;
    }
    waiting.add(requestId, service, true);
    return true;
  }

  @Override
  public void placed(RequestId requestId, RetryLimits limits, long nowMillis) {
    WaitingRetries.Retry retry = waiting.remove(requestId);
    if (retry != null) {
      retryPlaced(retry.service(), true, limits, nowMillis);
    }
  }

  @Override
  public void requestEnded(RequestId requestId) {
    waiting.remove(requestId);
  }

  /** Starts to decide without a scheduler: the retries that wait are asked for again. */
  public void startFallback() {
    waiting.clear();
  }

  @Override
  public List<RetryRefusal> drainRefusals() {
    return refusals.drain();
  }

  /** Returns what was counted in the window, for a scheduler. */
  public List<RetryCount> export(long nowMillis) {
    List<RetryCount> counts = new ArrayList<>();
    windows.forEach(
        (service, window) ->
            window.forEachGroup(
                REPORTED_BUCKETS,
                nowMillis,
                (ageMillis, requests, retries, reserveRetries) ->
                    counts.add(
                        RetryCount.newBuilder()
                            .setService(service)
                            .setAgeMillis((int) ageMillis)
                            .setRequests(requests)
                            .setRetries(retries)
                            .setReserveRetries(reserveRetries)
                            .build())));
    return counts;
  }

  /** Returns by how much a reported request may be older than its count says. */
  static long reportedSpanMillis(RetryLimits limits) {
    return REPORTED_BUCKETS * RetryWindow.bucketMillis(limits.windowMillis());
  }
}
