package org.curranthaven.internal.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Streams whose origins are not yet in the replicated log, by the service at which they began. A
 * stream is in the log, or on its way to it, once in each generation of the log in which it had
 * output. Not thread-safe.
 */
final class UnrecordedStreams {
  private final Map<String, Set<Long>> waiting = new HashMap<>();
  private final Set<Long> recorded = new HashSet<>();

  /** Adds a stream that had output, unless it is recorded in this generation. */
  void add(String service, long stream) {
    if (!recorded.contains(stream)) {
      waiting.computeIfAbsent(service, key -> new LinkedHashSet<>()).add(stream);
    }
  }

  /** Removes a stream that can no longer be taken up. */
  void remove(String service, long stream) {
    recorded.remove(stream);
    Set<Long> streams = waiting.get(service);
    if (streams != null && streams.remove(stream) && streams.isEmpty()) {
      waiting.remove(service);
    }
  }

  /** Returns the services with streams that wait. */
  Set<String> services() {
    return Set.copyOf(waiting.keySet());
  }

  /** Takes the streams of a service that have waited longest, and counts them as recorded. */
  List<Long> take(String service, int maxStreams) {
    List<Long> taken = new ArrayList<>();
    Iterator<Long> longestWaiting = waiting.getOrDefault(service, Set.of()).iterator();
    while (longestWaiting.hasNext() && taken.size() < maxStreams) {
      taken.add(longestWaiting.next());
      longestWaiting.remove();
    }
    if (!longestWaiting.hasNext()) {
      waiting.remove(service);
    }
    recorded.addAll(taken);
    return taken;
  }

  /** Counts streams as recorded in this generation. */
  void markRecorded(Collection<Long> streams) {
    recorded.addAll(streams);
  }

  /** Has streams recorded again whose recording failed. */
  void restore(String service, Collection<Long> streams) {
    streams.forEach(recorded::remove);
    streams.forEach(stream -> add(service, stream));
  }

  /** Starts a generation: streams are recorded again once they have further output. */
  void startGeneration() {
    recorded.clear();
  }
}
