package org.curranthaven.internal.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.jspecify.annotations.Nullable;

/** A backend server and the requests that run on it. Not thread-safe. */
final class BackendState {
  /**
   * Time after a lost connection within which a sign that the backend server has ended shows that
   * it crashed then: it may be back at its address before anybody finds that it was gone.
   */
  private static final long LOST_CONNECTION_RETENTION_MILLIS = 5_000;

  private static final int MAX_LOST_CONNECTIONS = 256;

  private BackendRecord registration;
  private long warmAtMillis;
  private long fullUntilMillis;
  private boolean crashed;
  private long crashedAtMillis;
  final Map<RequestId, RunningRequest> requests = new LinkedHashMap<>();

  /** Requests that run on other engines and have their backup copy on this one. */
  final Map<RequestId, RunningRequest> backupCopies = new LinkedHashMap<>();

  final PromptPartCache promptPartCache = new PromptPartCache();

  /** Time per output token on this engine; null until it has produced output. */
  @Nullable LearntAverage millisPerOutputToken;

  /** Requests whose connection was lost lately, and when that was reported. */
  private final Map<RunningRequest, Long> lostConnections = new LinkedHashMap<>();

  BackendState(BackendRecord registration, long nowMillis) {
    this.registration = registration;
    updateRegistration(registration, nowMillis);
  }

  final void updateRegistration(BackendRecord update, long nowMillis) {
    registration = update;
    warmAtMillis = nowMillis + update.getColdLeftMillis();
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

  /** Returns the version of its software; empty if it states none. */
  String softwareVersion() {
    return registration.getSoftwareVersion();
  }

  boolean serves(String service) {
    return registration.getService().equals(service);
  }

  /** Returns whether the backend server has announced that it leaves, or was deregistered. */
  boolean hasAnnouncedLeaving() {
    return registration.getLeaving();
  }

  /** Records that the connection of a request was lost, which a crash may explain later. */
  void recordLostConnection(RunningRequest request, long nowMillis) {
    lostConnections
        .values()
        .removeIf(lostAtMillis -> nowMillis - lostAtMillis > LOST_CONNECTION_RETENTION_MILLIS);
    if (lostConnections.size() < MAX_LOST_CONNECTIONS) {
      lostConnections.put(request, nowMillis);
    }
  }

  /** Returns the requests whose connection was lost in the time that a restart may take. */
  List<RunningRequest> recentlyLost(long nowMillis) {
    return lostConnections.entrySet().stream()
        .filter(entry -> nowMillis - entry.getValue() <= LOST_CONNECTION_RETENTION_MILLIS)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Records the report of a crash. */
  void markCrashed(long nowMillis) {
    crashed = true;
    crashedAtMillis = nowMillis;
  }

  /** Records that the backend server may run although a crash was reported. */
  void clearCrash() {
    crashed = false;
  }

  boolean hasCrashed() {
    return crashed;
  }

  /** Returns the time since the report of the crash. */
  long millisSinceCrash(long nowMillis) {
    return nowMillis - crashedAtMillis;
  }

  /** Returns whether the backend server takes no new requests, since it leaves or has crashed. */
  boolean isLeaving() {
    return hasAnnouncedLeaving() || crashed;
  }

  int slots() {
    return Math.max(1, registration.getSlots());
  }

  boolean isWarmingUp(long nowMillis) {
    return nowMillis < warmAtMillis;
  }

  /** Records that the backend server rejected a request although capacity was expected. */
  void markFull(long untilMillis) {
    fullUntilMillis = untilMillis;
  }

  boolean isFull(long nowMillis) {
    return nowMillis < fullUntilMillis;
  }

  /** Returns whether no request runs and no backup copy is kept on this backend server. */
  boolean isIdle() {
    return requests.isEmpty() && backupCopies.isEmpty();
  }

  /** Returns the memory reserved for running requests and backup copies, in tokens. */
  double memoryTokens() {
    double tokens = 0;
    for (RunningRequest request : requests.values()) {
      tokens += request.memoryTokens();
    }
    for (RunningRequest backupCopy : backupCopies.values()) {
      tokens += backupCopy.memoryTokens();
    }
    return tokens;
  }

  /** Returns the memory that running requests and backup copies are forecast to use at most. */
  double finalMemoryTokens() {
    double tokens = 0;
    for (RunningRequest request : requests.values()) {
      tokens += request.finalMemoryTokens();
    }
    for (RunningRequest backupCopy : backupCopies.values()) {
      tokens += backupCopy.finalMemoryTokens();
    }
    return tokens;
  }

  /** Returns the prompt tokens of all requests that have no output yet. */
  int pendingPromptTokens() {
    int tokens = 0;
    for (RunningRequest request : requests.values()) {
      tokens += request.pendingPromptTokens();
    }
    return tokens;
  }
}
