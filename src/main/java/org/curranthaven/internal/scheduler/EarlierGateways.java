package org.curranthaven.internal.scheduler;

import java.util.HashSet;
import java.util.Set;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.transport.wire.GatewayStatus;

/**
 * The gateways that earlier leaders were connected to, as far as the gateways that a new leader
 * hears report them. What runs through a gateway that it has not heard, it does not know.
 */
final class EarlierGateways {
  private final boolean othersBefore;
  private final long startedAtMillis;
  private final Set<String> heard = new HashSet<>();
  private int mostLately;
  private int mostKnown = 1;

  /**
   * Creates an empty record at the start of a leader.
   *
   * @param othersPlaced whether other hosts may have placed requests before
   */
  EarlierGateways(boolean othersPlaced, long startedAtMillis) {
    this.othersBefore = othersPlaced;
    this.startedAtMillis = startedAtMillis;
  }

  /** Records a status in which a gateway reports all that it runs. */
  void recordFullStatus(String gateway, GatewayStatus status) {
    heard.add(gateway);
    mostLately = Math.max(mostLately, status.getMostGateways());
    mostKnown = Math.max(mostKnown, Math.max(mostLately, status.getMostGatewaysKnown()));
  }

  /** Returns the most gateways that earlier leaders were connected to shortly before. */
  int mostLately() {
    return mostLately;
  }

  /**
   * Returns whether every request that still runs is known: all gateways were heard, or what the
   * others ran before has reached the longest time that a route allows. On their own they run
   * nothing again that may have crashed a backend server.
   */
  boolean areRunsKnown(Catalog catalog, long nowMillis) {
    return !othersBefore
        || heard.size() >= mostKnown
        || nowMillis - startedAtMillis >= catalog.longestTimeoutMillis();
  }
}
