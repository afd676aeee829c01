package org.curranthaven.internal.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.LearntCapacity;
import org.jspecify.annotations.Nullable;

/**
 * The {@link ServerCapacity} of each backend server of the services whose servers state how slow
 * their machines are. Services whose servers do not state it have no figures. Not thread-safe.
 *
 * <pre>{@code
 * capacities.state(registration, 250, nowMillis);
 * capacities.merge(learntElsewhere, backends::get, nowMillis);
 * }</pre>
 */
public final class ServerCapacities {
  /** Change of a figure, as a share, from which on it is sent to other hosts and logged. */
  private static final double NOTICEABLE_SHARE = 0.25;

  /** Shortest time between two comparisons of the figures with those published. */
  private static final long PUBLISH_INTERVAL_MILLIS = 1_000;

  private final Map<String, ServiceCapacity> services = new HashMap<>();
  private final Map<String, ServerCapacity> servers = new LinkedHashMap<>();
  private final Map<String, Published> published = new HashMap<>();

  /** What other hosts sent last; it holds until they send a noticeable change. */
  private final Map<String, Received> received = new HashMap<>();

  private long version;
  private long comparedAtMillis = Long.MIN_VALUE / 2;

  /** Figures that another host learnt until a time. */
  private record Received(LearntCapacity figures, long learntAtMillis) {
    LearntCapacity agedTo(long nowMillis) {
      long ageMillis = Math.clamp(nowMillis - learntAtMillis, 0L, Integer.MAX_VALUE);
      return figures.toBuilder().setAgeMillis((int) ageMillis).build();
    }
  }

  /** Figures of a server as they were last published. */
  private record Published(LoadCurve curve, double promptMillis, long version) {
    boolean differsFrom(LoadCurve newCurve, double newPromptMillis) {
      return curve.differsNoticeably(newCurve, NOTICEABLE_SHARE)
          || Math.abs(newPromptMillis - promptMillis) > NOTICEABLE_SHARE * promptMillis;
    }
  }

  // ---- statements -------------------------------------------------------------------------------

  /**
   * Records how slow the machine of a backend server is; from the first statement on, its service
   * is placed by capacity.
   *
   * @param percent time that work takes, as a percentage of its usual time
   */
  public void state(BackendRecord backend, int percent, long nowMillis) {
    ServerCapacity capacity = serverOf(backend, nowMillis);
    capacity.slowness().state(percent, nowMillis);
    capacity.service().recordSlowness(capacity.slowness().factor(nowMillis));
  }

  /** Returns whether the backend servers of the service state how slow their machines are. */
  boolean isActive(String service) {
    ServiceCapacity capacity = services.get(service);
    return capacity != null && capacity.isActive();
  }

  /** Returns the capacity of the backend server; null if its service does not state slowness. */
  @Nullable ServerCapacity ofActive(BackendState backend, long nowMillis) {
    return isActive(backend.service()) ? serverOf(backend.registration(), nowMillis) : null;
  }

  private ServerCapacity serverOf(BackendRecord backend, long nowMillis) {
    return servers.computeIfAbsent(
        backend.getId(),
        id ->
            new ServerCapacity(
                id,
                services.computeIfAbsent(backend.getService(), name -> new ServiceCapacity()),
                Math.max(1, backend.getSlots()),
                nowMillis));
  }

  /** Forgets a backend server that crashed: one that starts again is learnt anew. */
  void forget(String backend) {
    servers.remove(backend);
    published.remove(backend);
    received.remove(backend);
  }

  /** Forgets the backend servers that are not known. */
  public void discard(Predicate<String> isKnown) {
    servers.keySet().removeIf(id -> !isKnown.test(id));
    published.keySet().removeIf(id -> !isKnown.test(id));
    received.keySet().removeIf(id -> !isKnown.test(id));
  }

  // ---- exchange between hosts -------------------------------------------------------------------

  /** Returns a number that grows when {@link #publishChanged} finds changed figures. */
  public long version() {
    return version;
  }

  /**
   * Finds the figures that changed noticeably since they were last published; returns a description
   * of each. Compares at most once in a while.
   */
  public List<String> publishChanged(long nowMillis) {
    if (nowMillis - comparedAtMillis < PUBLISH_INTERVAL_MILLIS) {
      return List.of();
    }
    comparedAtMillis = nowMillis;
    List<String> changes = new ArrayList<>();
    long nextVersion = version + 1;
    servers.forEach(
        (id, capacity) -> {
          if (isNoticeablyChanged(id, capacity, nowMillis)) {
            LoadCurve curve = capacity.curve(nowMillis);
            double promptMillis = capacity.promptMillis(nowMillis);
            published.put(id, new Published(curve, promptMillis, nextVersion));
            version = nextVersion;
            changes.add(capacity.describe(nowMillis));
          }
        });
    return changes;
  }

  private boolean isNoticeablyChanged(String id, ServerCapacity capacity, long nowMillis) {
    boolean known = capacity.certainty(nowMillis) >= 1 || received.containsKey(id);
    if (!capacity.service().isActive() || !known) {
      return false;
    }
    Published before = published.get(id);
    return before == null
        || before.differsFrom(capacity.curve(nowMillis), capacity.promptMillis(nowMillis));
  }

  /** Returns a description of the figures of each server, for the state dump. */
  public List<String> describe(long nowMillis) {
    return servers.values().stream()
        .filter(capacity -> capacity.service().isActive())
        .map(capacity -> capacity.describe(nowMillis))
        .toList();
  }

  /** Returns all figures of active services, for another host. */
  public List<LearntCapacity> export(long nowMillis) {
    List<LearntCapacity> learnt = new ArrayList<>();
    for (ServerCapacity capacity : servers.values()) {
      if (capacity.service().isActive()) {
        learnt.add(export(capacity, nowMillis));
      }
    }
    return learnt;
  }

  /** Returns the figures that were published after an earlier {@link #version}. */
  public List<LearntCapacity> exportSince(long earlierVersion, long nowMillis) {
    List<LearntCapacity> learnt = new ArrayList<>();
    published.forEach(
        (id, figures) -> {
          ServerCapacity capacity = servers.get(id);
          if (capacity != null && figures.version() > earlierVersion) {
            learnt.add(export(capacity, nowMillis));
          }
        });
    return learnt;
  }

  /** Returns the figures learnt here, or those received if hardly any are. */
  private LearntCapacity export(ServerCapacity capacity, long nowMillis) {
    Received elsewhere = received.get(capacity.id());
    return elsewhere == null || capacity.certainty(nowMillis) >= 1
        ? capacity.export(nowMillis)
        : elsewhere.agedTo(nowMillis);
  }

  /** Takes up the received figures again, which age while nothing is learnt here. */
  public void restoreReceived(long nowMillis) {
    received.forEach(
        (id, elsewhere) -> {
          ServerCapacity capacity = servers.get(id);
          if (capacity != null && capacity.certainty(nowMillis) < 1) {
            capacity.restore(elsewhere.figures(), nowMillis);
          }
        });
  }

  /** Adds what another host learnt of backend servers; ignores those that are unknown here. */
  public void merge(Collection<LearntCapacity> learnt, BackendLookup backends, long nowMillis) {
    for (LearntCapacity record : learnt) {
      BackendRecord backend = backends.find(record.getBackend());
      if (backend != null) {
        ServerCapacity capacity = serverOf(backend, nowMillis);
        capacity.service().activate();
        if (capacity.merge(record, nowMillis)) {
          long learntAtMillis = nowMillis - record.getAgeMillis();
          received.put(record.getBackend(), new Received(record, learntAtMillis));
        }
      }
    }
  }

  /** Finds the registration of a backend server. */
  @FunctionalInterface
  public interface BackendLookup {
    /** Returns the registration; null if the backend server is unknown. */
    @Nullable BackendRecord find(String id);
  }
}
