package org.curranthaven.internal.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.curranthaven.internal.transport.wire.RetryCount;

/**
 * The requests and retries of all gateways, as they report them to a new scheduler and it counts
 * them since. Until it knows of all retries of the window, it allows each gateway no more than the
 * gateway could allow itself. Not thread-safe.
 *
 * <pre>{@code
 * retries.start(true, nowMillis);
 * retries.restore("gateway-1", counts, memoryMillis, 8, limits, nowMillis);
 * boolean allowed = retries.tryRetry(requestId, "plain", limits, nowMillis);
 * retries.placed(requestId, limits, laterMillis);
 * }</pre>
 */
public final class SchedulerRetries implements RetryAccounts {
  private final Map<String, ServiceCounts> services = new HashMap<>();
  private final Map<String, Long> memoryStarts = new HashMap<>();
  private final WaitingRetries waiting = new WaitingRetries();
  private final Set<RequestId> onReserve = new HashSet<>();
  private final RetryRefusals refusals = new RetryRefusals();

  /** Latest of the times from which on gateways remembered all when they first reported. */
  private long latestFirstMemoryMillis = Long.MIN_VALUE / 2;

  private boolean othersBefore;
  private long startedAtMillis;
  private int mostGateways = 1;

  /** Requests and retries for one service, of each gateway and of all together. */
  private static final class ServiceCounts {
    final RetryWindow all;
    final Map<String, RetryWindow> byGateway = new HashMap<>();

    ServiceCounts(RetryLimits limits) {
      all = new RetryWindow(limits.windowMillis());
    }
  }

  /**
   * Starts to decide.
   *
   * @param othersPlaced whether other hosts may have placed requests before
   */
  public void start(boolean othersPlaced, long nowMillis) {
    othersBefore = othersPlaced;
    startedAtMillis = nowMillis;
  }

  /**
   * Takes over what a gateway has sent. What this host counted for an earlier process of the same
   * gateway stays.
   *
   * @param memoryMillis time for which the gateway remembers all that it sent
   * @param most most gateways that the reporting one has known
   */
  public void restore(
      String gateway,
      Collection<RetryCount> counts,
      long memoryMillis,
      int most,
      RetryLimits limits,
      long nowMillis) {
    mostGateways = Math.max(mostGateways, most);
    long memoryStartMillis = nowMillis - memoryMillis;
    if (memoryStarts.put(gateway, memoryStartMillis) == null) {
      latestFirstMemoryMillis = Math.max(latestFirstMemoryMillis, memoryStartMillis);
    }
    counts.forEach(count -> countsOf(count.getService(), limits));
    services.forEach(
        (service, known) -> {
          RetryWindow window = windowOf(known, gateway, limits);
          known.all.addAll(window, -1, nowMillis);
          window.clearSince(memoryStartMillis);
          counts.stream()
              .filter(count -> count.getService().equals(service))
              .forEach(count -> add(window, count, memoryStartMillis, limits, nowMillis));
          known.all.addAll(window, 1, nowMillis);
        });
  }

  /**
   * Adds a reported count: its retries as late, and its requests as early, as they may have been.
   */
  private static void add(
      RetryWindow window,
      RetryCount count,
      long memoryStartMillis,
      RetryLimits limits,
      long nowMillis) {
    long latestMillis = nowMillis - count.getAgeMillis();
    // The next report replaces only what it remembers.
    long earliestMillis =
        Math.max(
            latestMillis - GatewayRetries.reportedSpanMillis(limits),
            memoryStartMillis + RetryWindow.bucketMillis(limits.windowMillis()));
    window.addRequests(count.getRequests(), earliestMillis, nowMillis);
    window.addRetries(count.getRetries(), count.getReserveRetries(), latestMillis, nowMillis);
  }

  private ServiceCounts countsOf(String service, RetryLimits limits) {
    return services.computeIfAbsent(service, key -> new ServiceCounts(limits));
  }

  private static RetryWindow windowOf(ServiceCounts known, String gateway, RetryLimits limits) {
    return known.byGateway.computeIfAbsent(gateway, key -> new RetryWindow(limits.windowMillis()));
  }

  /** Returns whether no retry of the window can be unknown, but for those on the reserve. */
  private boolean knowsAll(RetryLimits limits, long nowMillis) {
    if (!othersBefore || RetryReserve.remembers(nowMillis - startedAtMillis, limits)) {
      return true;
    }
    return memoryStarts.size() >= mostGateways
        && RetryReserve.remembers(nowMillis - latestFirstMemoryMillis, limits);
  }

  @Override
  public void recordRequest(
      RequestId requestId, String service, RetryLimits limits, long nowMillis) {
    ServiceCounts known = countsOf(service, limits);
    known.all.addRequests(1, nowMillis, nowMillis);
    windowOf(known, requestId.gateway(), limits).addRequests(1, nowMillis, nowMillis);
  }

  @Override
  public boolean tryRetry(RequestId requestId, String service, RetryLimits limits, long nowMillis) {
    ServiceCounts known = countsOf(service, limits);
    RetryWindow window = windowOf(known, requestId.gateway(), limits);
    boolean shared = knowsAll(limits, nowMillis);
    RetryWindow.Sums sums = (shared ? known.all : window).sums(nowMillis);
    int counted =
        shared
            ? sums.retries() + waiting.count(service)
            : sums.reserveRetries() + waiting.countOnReserve(service, requestId.gateway());
    double maxRetries =
        shared
            ? SHARED_PART * (limits.ratio() * sums.requests() + limits.fixedRetries())
            : maxOnReserve(requestId.gateway(), sums.requests(), limits, nowMillis);
    if (counted + 1 > maxRetries) {
      refusals.record(
          service,
          () ->
              new RetryRefusal(
                  service,
                  sums.requests(),
                  counted,
                  maxRetries,
                  shared
                      ? "all gateways"
                      : "reserve of gateway " + requestId.gateway() + ", " + describe(nowMillis)),
          limits,
          nowMillis);
      return false;
    }
    if (!shared) {
      onReserve.add(requestId);
    }
    waiting.add(requestId, service, !shared);
    return true;
  }

  @Override
  public void placed(RequestId requestId, RetryLimits limits, long nowMillis) {
    WaitingRetries.Retry retry = waiting.remove(requestId);
    if (retry != null) {
      ServiceCounts known = countsOf(retry.service(), limits);
      int reserved = retry.onReserve() ? 1 : 0;
      known.all.addRetries(1, reserved, nowMillis, nowMillis);
      windowOf(known, requestId.gateway(), limits).addRetries(1, reserved, nowMillis, nowMillis);
    }
  }

  private double maxOnReserve(String gateway, int requests, RetryLimits limits, long nowMillis) {
    Long memoryStartMillis = memoryStarts.get(gateway);
    return memoryStartMillis != null
            && RetryReserve.remembers(nowMillis - memoryStartMillis, limits)
        ? RetryReserve.maxRetries(requests, mostGateways, limits)
        : 0;
  }

  /** Returns whether a request is a retry that was allowed on the reserve of its gateway. */
  public boolean isOnReserve(RequestId requestId) {
    return onReserve.contains(requestId);
  }

  @Override
  public void requestEnded(RequestId requestId) {
    waiting.remove(requestId);
    onReserve.remove(requestId);
  }

  @Override
  public List<RetryRefusal> drainRefusals() {
    return refusals.drain();
  }

  /** Returns what is known, for the log. */
  public String describe(long nowMillis) {
    List<String> lines = new ArrayList<>();
    services.forEach(
        (service, known) -> {
          RetryWindow.Sums sums = known.all.sums(nowMillis);
          lines.add(
              "%s: %d retries of %d requests".formatted(service, sums.retries(), sums.requests()));
        });
    return "told by %d of %d gateways: %s"
        .formatted(memoryStarts.size(), Math.max(mostGateways, memoryStarts.size()), lines);
  }
}
