package org.curranthaven.internal.dispatch;

import java.util.List;

/**
 * What a response states about its backend server, decoded.
 *
 * @param rateLimit limit on the requests that it accepts
 * @param leaving whether it leaves, and takes no new requests
 * @param restMillis time for which it wants no requests from the gateway that it responds to; 0 if
 *     it states none
 * @param load how slow its machine is
 * @param malformed statements that cannot be decoded and change nothing, each with its text
 */
public record BackendStatements(
    StatedRateLimit rateLimit,
    boolean leaving,
    long restMillis,
    StatedLoad load,
    List<String> malformed) {
  /** What a response without any statement states. */
  public static final BackendStatements NONE =
      new BackendStatements(new StatedRateLimit.None(), false, 0, List.of());

  /** Creates statements without the load of the backend server. */
  public BackendStatements(
      StatedRateLimit rateLimit, boolean leaving, long restMillis, List<String> malformed) {
    this(rateLimit, leaving, restMillis, new StatedLoad.None(), malformed);
  }

  /** Creates statements that do not change. */
  public BackendStatements {
    malformed = List.copyOf(malformed);
  }
}
