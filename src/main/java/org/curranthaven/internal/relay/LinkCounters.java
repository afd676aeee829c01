package org.curranthaven.internal.relay;

import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import org.curranthaven.internal.supervision.LineLimit;
import org.curranthaven.internal.transport.wire.DispatchOrders;
import org.tinylog.Logger;

/**
 * Counts where the views of a gateway and its scheduler differ: decisions that the gateway ignores,
 * and placement requests that it sends again. The counts may be read by any thread; the rest is
 * confined to the event loop.
 */
final class LinkCounters {
  /** Shortest time between two log lines of the same kind. */
  private static final long LOG_INTERVAL_MILLIS = 1_000;

  /** Why a decision is ignored. */
  enum Reason {
    /** It is of another term, or of a host that is not the scheduler. */
    OTHER_TERM,
    /** It was made before the gateway's latest full status. */
    EARLIER_STATUS,
    /** It places or rejects a request that has been placed already. */
    RUNS_ALREADY,
    /** It stops or migrates a request that waits for its placement. */
    NOT_RUNNING,
    /** The gateway has no such request, or has it no longer. */
    UNKNOWN_REQUEST
  }

  private final Map<Reason, LongAdder> ignored = new EnumMap<>(Reason.class);
  private final Map<Reason, LineLimit> limits = new EnumMap<>(Reason.class);
  private final Map<Reason, Long> countWhenLogged = new EnumMap<>(Reason.class);
  private final LongAdder sentAgain = new LongAdder();
  private final LineLimit sentAgainLimit = new LineLimit(1, LOG_INTERVAL_MILLIS);

  LinkCounters() {
    for (Reason reason : Reason.values()) {
      ignored.put(reason, new LongAdder());
      limits.put(reason, new LineLimit(1, LOG_INTERVAL_MILLIS));
    }
  }

  /**
   * Counts decisions that are ignored.
   *
   * @param decisions describes the decisions for the log, if a line is written
   */
  void recordIgnored(Reason reason, int count, Supplier<String> decisions, long nowMillis) {
    if (count == 0) {
      return;
    }
    LongAdder total = total(reason);
    total.add(count);
    if (Objects.requireNonNull(limits.get(reason)).mayWrite(nowMillis)) {
      Logger.info(
          "{} decisions of the scheduler ignored since the last such line, reason {}; latest: {}",
          total.sum() - countWhenLogged.getOrDefault(reason, 0L),
          reason,
          decisions.get());
      countWhenLogged.put(reason, total.sum());
    }
  }

  /** Counts decisions that are ignored, of another term or status than the present ones. */
  void recordIgnored(
      Reason reason, DispatchOrders orders, long term, long statusNumber, long nowMillis) {
    int count =
        orders.getPlacementsCount()
            + orders.getRefusalsCount()
            + orders.getStopsCount()
            + orders.getMovesCount();
    recordIgnored(
        reason,
        count,
        () ->
            "of term "
                + orders.getTerm()
                + " and status "
                + orders.getStatusNumber()
                + ", here "
                + term
                + " and "
                + statusNumber,
        nowMillis);
  }

  private LongAdder total(Reason reason) {
    return Objects.requireNonNull(ignored.get(reason));
  }

  /** Counts a placement request that is sent again since it was not acknowledged. */
  void recordSentAgain(long id, long nowMillis) {
    sentAgain.increment();
    if (sentAgainLimit.mayWrite(nowMillis)) {
      Logger.info(
          "{} placement requests sent again since the last such line; latest: {}",
          sentAgainLimit.takeOmitted() + 1,
          id);
    }
  }

  /** Returns the number of decisions ignored for the reason. */
  long ignored(Reason reason) {
    return total(reason).sum();
  }

  /** Returns the number of placement requests sent again. */
  long sentAgain() {
    return sentAgain.sum();
  }
}
