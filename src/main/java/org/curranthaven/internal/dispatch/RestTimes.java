package org.curranthaven.internal.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.curranthaven.internal.transport.wire.RestRecord;

/**
 * Until when backend servers want no requests from a gateway, as they stated when they rejected
 * one. Not thread-safe.
 *
 * <pre>{@code
 * restTimes.state("gateway-1", "i-7", nowMillis + 3_000, nowMillis);
 * boolean resting = restTimes.isResting("gateway-1", "i-7", nowMillis);
 * }</pre>
 */
public final class RestTimes {
  private record Key(String gateway, String backend) {}

  private final Map<Key, Long> untilMillis = new HashMap<>();

  /**
   * Records that a backend server rests for a gateway. The longest rest that it stated holds, since
   * responses may arrive in another order than they were made in.
   */
  public void state(String gateway, String backend, long restUntilMillis, long nowMillis) {
    untilMillis.values().removeIf(until -> until <= nowMillis);
    untilMillis.merge(new Key(gateway, backend), restUntilMillis, Math::max);
  }

  /** Returns whether no backend server has stated a rest that may still last. */
  boolean isEmpty() {
    return untilMillis.isEmpty();
  }

  /** Returns whether the backend server wants no requests from the gateway now. */
  public boolean isResting(String gateway, String backend, long nowMillis) {
    return !untilMillis.isEmpty() && leftMillis(gateway, backend, nowMillis) > 0;
  }

  private long leftMillis(String gateway, String backend, long nowMillis) {
    Long until = untilMillis.get(new Key(gateway, backend));
    return until == null ? 0 : Math.max(0, until - nowMillis);
  }

  /** Returns the time until the first of the backend servers ends its rest; empty if none rests. */
  OptionalLong shortestLeftMillis(String gateway, Collection<String> backends, long nowMillis) {
    return backends.stream()
        .mapToLong(backend -> leftMillis(gateway, backend, nowMillis))
        .filter(left -> left > 0)
        .min();
  }

  /** Returns the rests for a gateway that have not ended, for another host. */
  public List<RestRecord> export(String gateway, long nowMillis) {
    return untilMillis.entrySet().stream()
        .filter(entry -> entry.getKey().gateway().equals(gateway) && entry.getValue() > nowMillis)
        .map(
            entry ->
                RestRecord.newBuilder()
                    .setBackend(entry.getKey().backend())
                    .setLeftMillis(entry.getValue() - nowMillis)
                    .build())
        .toList();
  }

  /** Adds the rests that a gateway knows. */
  public void merge(String gateway, Collection<RestRecord> records, long nowMillis) {
    records.forEach(
        record ->
            state(gateway, record.getBackend(), nowMillis + record.getLeftMillis(), nowMillis));
  }
}
