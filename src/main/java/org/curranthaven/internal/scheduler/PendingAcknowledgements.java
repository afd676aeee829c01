package org.curranthaven.internal.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Changes that are acknowledged once every connected gateway has applied them. Confined to the
 * event loop.
 */
final class PendingAcknowledgements {
  private final List<Pending> pending = new ArrayList<>();

  private record Pending(ActiveVersions required, Consumer<Boolean> callback) {}

  boolean isEmpty() {
    return pending.isEmpty();
  }

  /** Adds a callback that receives whether the gateways have applied the required versions. */
  void add(ActiveVersions required, Consumer<Boolean> callback) {
    pending.add(new Pending(required, callback));
  }

  /** Acknowledges what the gateways' versions fulfil. */
  void complete(ActiveVersions active) {
    for (Pending candidate : List.copyOf(pending)) {
      if (active.fulfils(candidate.required())) {
        pending.remove(candidate);
        candidate.callback().accept(true);
      }
    }
  }

  /** Fails all: this host may no longer lead. */
  void failAll() {
    List<Pending> failed = List.copyOf(pending);
    pending.clear();
    failed.forEach(candidate -> candidate.callback().accept(false));
  }
}
