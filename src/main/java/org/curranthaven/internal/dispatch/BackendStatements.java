package org.curranthaven.internal.dispatch;

import java.util.List;

/**
 * What a response states about its backend server, decoded.
 *
 * @param rateLimit limit on the requests that it accepts
 * @param leaving whether it leaves, and takes no new requests
 * @param malformed statements that cannot be decoded and change nothing, each with its text
 */
public record BackendStatements(
    StatedRateLimit rateLimit, boolean leaving, List<String> malformed) {
  /** What a response without any statement states. */
  public static final BackendStatements NONE =
      new BackendStatements(new StatedRateLimit.None(), false, List.of());

  /** Creates statements that do not change. */
  public BackendStatements {
    malformed = List.copyOf(malformed);
  }
}
