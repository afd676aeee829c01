package org.curranthaven.internal.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.curranthaven.api.ResultCode;

/**
 * The requests of a gateway without a final response. Confined to the event loop, except for their
 * number.
 */
final class OpenRequests {
  private final Set<RoutedRequest> requests = new HashSet<>();
  private volatile int count;

  void add(RoutedRequest request) {
    requests.add(request);
    count = requests.size();
  }

  void remove(RoutedRequest request) {
    requests.remove(request);
    count = requests.size();
  }

  /** Returns the number of requests; any thread may ask. */
  int count() {
    return count;
  }

  /**
   * Rejects the requests that have not run and that a draining gateway would not accept any more.
   */
  void rejectUnacceptable() {
    requests.stream().filter(RoutedRequest::isUnacceptable).toList().forEach(OpenRequests::stop);
  }

  /**
   * Ends all requests before the process does, with a response that tells whether each may have
   * run; a response that has started is broken off. Returns the number of requests ended.
   */
  int stopAll() {
    List<RoutedRequest> stopped = List.copyOf(requests);
    stopped.forEach(OpenRequests::stop);
    return stopped.size();
  }

  private static void stop(RoutedRequest request) {
    request.onStopped(DrainRules.RETRY_AFTER_MILLIS, ResultCode.HOST_DRAINING.name());
  }
}
