package org.curranthaven.internal.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import org.curranthaven.internal.transport.wire.BackendRecord;

/** A backend server and the calls that run on it. Not thread-safe. */
final class BackendState {
  private BackendRecord registration;
  private long warmAtMillis;
  private long fullUntilMillis;
  final Map<RequestId, RunningRequest> requests = new LinkedHashMap<>();

  /** Calls that run elsewhere and of which a copy is kept here. */
  final Map<RequestId, RunningRequest> backupCopies = new LinkedHashMap<>();

  final PromptPartCache promptPartCache = new PromptPartCache();

  BackendState(BackendRecord registration, long nowMillis) {
    this.registration = registration;
    updateRegistration(registration, nowMillis);
  }

  final void updateRegistration(BackendRecord newer, long nowMillis) {
    registration = newer;
    warmAtMillis = nowMillis + newer.getColdLeftMillis();
  }

  BackendRecord registration() {
    return registration;
  }

  String id() {
    return registration.getId();
  }

  String service() {
    return registration.getService();
  }

  boolean serves(String service) {
    return registration.getService().equals(service);
  }

  boolean isLeaving() {
    return registration.getLeaving();
  }

  int slots() {
    return Math.max(1, registration.getSlots());
  }

  boolean isWarmingUp(long nowMillis) {
    return nowMillis < warmAtMillis;
  }

  /** Notes that the backend server turned a call away although room was expected. */
  void markFull(long untilMillis) {
    fullUntilMillis = untilMillis;
  }

  boolean isFull(long nowMillis) {
    return nowMillis < fullUntilMillis;
  }

  /** Returns whether nothing runs here and no copy is kept here. */
  boolean isIdle() {
    return requests.isEmpty() && backupCopies.isEmpty();
  }

  double memoryTokens() {
    double sum = 0;
    for (RunningRequest call : requests.values()) {
      sum += call.memoryTokens();
    }
    for (RunningRequest copy : backupCopies.values()) {
      sum += copy.memoryTokens();
    }
    return sum;
  }

  int pendingPromptTokens() {
    int sum = 0;
    for (RunningRequest call : requests.values()) {
      sum += call.pendingPromptTokens();
    }
    return sum;
  }
}
