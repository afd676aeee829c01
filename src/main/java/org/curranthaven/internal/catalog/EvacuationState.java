package org.curranthaven.internal.catalog;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Replicated orders to evacuate data centres: nothing more is sent to their backend servers until
 * the order is withdrawn. An order names the revision that it was made for, so that one which
 * arrives after a later order for the same data centre is told apart. Not thread-safe.
 */
public final class EvacuationState {
  private final Set<String> evacuated = new TreeSet<>();

  /** Data centres from which a backend server has registered at any time. */
  private final Set<String> known = new TreeSet<>();

  /** Revisions of the latest accepted orders, by data centre. */
  private final Map<String, Long> orderRevisions = new TreeMap<>();

  private long revision;

  /**
   * Snapshot of the state.
   *
   * @param revision number of accepted orders
   * @param evacuated evacuated data centres, sorted
   * @param known data centres from which a backend server has registered, sorted
   * @param orderRevisions revisions of the latest accepted orders, by data centre, sorted; earlier
   *     software wrote none
   */
  public record Snapshot(
      long revision, List<String> evacuated, List<String> known, Map<String, Long> orderRevisions) {
    /** State before the first order and the first registration. */
    public static final Snapshot EMPTY = new Snapshot(0, List.of(), List.of(), Map.of());

    public Snapshot {
      evacuated = List.copyOf(evacuated);
      known = List.copyOf(known);
      orderRevisions =
          orderRevisions == null
              ? Map.of()
              : Collections.unmodifiableMap(new TreeMap<>(orderRevisions));
    }

    /** Returns whether the data centre may be named by an order: any may while none is known. */
    public boolean mayOrder(String dataCentre) {
      return known.isEmpty() || known.contains(dataCentre) || evacuated.contains(dataCentre);
    }
  }

  /**
   * Result of an order.
   *
   * @param accepted whether the data centre of the order is known, and the order was made for the
   *     present state or wants what is the case
   * @param state state after the order
   */
  public record Result(boolean accepted, Snapshot state) {}

  /**
   * Orders the evacuation of a data centre.
   *
   * @param madeFor revision that the order was made for; null if it takes effect in any state, as
   *     entries of earlier software do
   */
  public Result evacuate(String dataCentre, @Nullable Long madeFor) {
    return order(dataCentre, true, madeFor);
  }

  /**
   * Withdraws the order to evacuate a data centre.
   *
   * @param madeFor as for {@link #evacuate}
   */
  public Result endEvacuation(String dataCentre, @Nullable Long madeFor) {
    return order(dataCentre, false, madeFor);
  }

  private Result order(String dataCentre, boolean evacuates, @Nullable Long madeFor) {
    boolean accepted =
        snapshot().mayOrder(dataCentre)
            && (madeFor == null || mayFollow(dataCentre, evacuates, madeFor));
    if (accepted) {
      boolean changed = evacuates ? evacuated.add(dataCentre) : evacuated.remove(dataCentre);
      // An order that changes nothing counts too: copies of opposite ones may still be on their
      // way.
      if (changed || madeFor != null) {
        revision++;
        orderRevisions.put(dataCentre, revision);
      }
    }
    return new Result(accepted, snapshot());
  }

  /** Returns whether no other order for the data centre has been accepted since a revision. */
  private boolean mayFollow(String dataCentre, boolean evacuates, long madeFor) {
    boolean fulfilled = evacuated.contains(dataCentre) == evacuates;
    long latest = orderRevisions.getOrDefault(dataCentre, 0L);
    return fulfilled || (madeFor >= latest && madeFor <= revision);
  }

  /** Changes nothing; the result holds the state, and accepts nothing. */
  public Result read() {
    return new Result(false, snapshot());
  }

  /** Records that a backend server of the data centre has registered. */
  public Snapshot recordKnown(String dataCentre) {
    known.add(dataCentre);
    return snapshot();
  }

  /** Returns a snapshot of the state. */
  public Snapshot snapshot() {
    return new Snapshot(revision, List.copyOf(evacuated), List.copyOf(known), orderRevisions);
  }

  /** Replaces the state by a snapshot. */
  public void restore(Snapshot snapshot) {
    revision = snapshot.revision();
    replace(evacuated, snapshot.evacuated());
    replace(known, snapshot.known());
    orderRevisions.clear();
    orderRevisions.putAll(snapshot.orderRevisions());
  }

  private static void replace(Set<String> names, Collection<String> newNames) {
    names.clear();
    names.addAll(newNames);
  }
}
