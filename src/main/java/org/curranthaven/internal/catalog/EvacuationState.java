package org.curranthaven.internal.catalog;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Replicated orders to evacuate data centres: nothing more is sent to their backend servers until
 * the order is withdrawn. Not thread-safe.
 */
public final class EvacuationState {
  private final Set<String> evacuated = new TreeSet<>();

  /** Data centres from which a backend server has registered at any time. */
  private final Set<String> known = new TreeSet<>();

  private long revision;

  /**
   * Snapshot of the state.
   *
   * @param revision number of changes of the evacuated data centres
   * @param evacuated evacuated data centres, sorted
   * @param known data centres from which a backend server has registered, sorted
   */
  public record Snapshot(long revision, List<String> evacuated, List<String> known) {
    /** State before the first order and the first registration. */
    public static final Snapshot EMPTY = new Snapshot(0, List.of(), List.of());

    public Snapshot {
      evacuated = List.copyOf(evacuated);
      known = List.copyOf(known);
    }
  }

  /**
   * Result of an order.
   *
   * @param accepted whether the data centre of the order is known
   * @param state state after the order
   */
  public record Result(boolean accepted, Snapshot state) {}

  /** Orders the evacuation of a data centre; changes nothing if it is evacuated already. */
  public Result evacuate(String dataCentre) {
    boolean accepted = mayOrder(dataCentre);
    if (accepted && evacuated.add(dataCentre)) {
      revision++;
    }
    return new Result(accepted, snapshot());
  }

  /** Withdraws the order to evacuate a data centre; changes nothing if there is none. */
  public Result endEvacuation(String dataCentre) {
    boolean accepted = mayOrder(dataCentre);
    if (evacuated.remove(dataCentre)) {
      revision++;
    }
    return new Result(accepted, snapshot());
  }

  private boolean mayOrder(String dataCentre) {
    return known.isEmpty() || known.contains(dataCentre) || evacuated.contains(dataCentre);
  }

  /** Records that a backend server of the data centre has registered. */
  public Snapshot recordKnown(String dataCentre) {
    known.add(dataCentre);
    return snapshot();
  }

  /** Returns a snapshot of the state. */
  public Snapshot snapshot() {
    return new Snapshot(revision, List.copyOf(evacuated), List.copyOf(known));
  }

  /** Replaces the state by a snapshot. */
  public void restore(Snapshot snapshot) {
    revision = snapshot.revision();
    replace(evacuated, snapshot.evacuated());
    replace(known, snapshot.known());
  }

  private static void replace(Set<String> names, Collection<String> newNames) {
    names.clear();
    names.addAll(newNames);
  }
}
