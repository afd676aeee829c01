package org.curranthaven.internal.dispatch;

import java.util.Locale;

/**
 * Notable change of the memory that is kept from requests of one service and priority.
 *
 * @param priority priority of the requests that may not use the memory
 * @param reservedTokens memory kept for more urgent requests; 0 when the reserve ends
 * @param usedTokens memory that more urgent requests use at present
 * @param ageMillis time since the last more urgent request arrived
 * @param atMillis when the change was found
 */
public record ReserveChange(
    String service,
    int priority,
    double reservedTokens,
    double usedTokens,
    long ageMillis,
    long atMillis) {
  @Override
  public String toString() {
    if (reservedTokens <= 0) {
      return String.format(
          Locale.ROOT,
          "service %s: no memory is kept from requests of priority %d any more",
          service,
          priority);
    }
    return String.format(
        Locale.ROOT,
        "service %s: %.0f tokens of memory kept from requests of priority %d for more urgent ones,"
            + " which use %.0f; last of them arrived %d ms ago",
        service,
        reservedTokens,
        priority,
        usedTokens,
        ageMillis);
  }
}
