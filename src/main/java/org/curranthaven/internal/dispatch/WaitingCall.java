package org.curranthaven.internal.dispatch;

import java.util.Comparator;
import org.curranthaven.internal.transport.wire.DispatchAsk;

/**
 * A call that waits for room.
 *
 * @param order number by which calls of the same rank and due time are told apart
 * @param dueAtMillis when its first reply is due
 * @param giveUpAtMillis when it is turned away
 */
record WaitingCall(
    CallKey key, DispatchAsk ask, long order, long dueAtMillis, long giveUpAtMillis) {
  static final Comparator<WaitingCall> BY_RANK =
      Comparator.comparingInt((WaitingCall call) -> call.ask().getPriority())
          .thenComparingLong(WaitingCall::dueAtMillis)
          .thenComparingLong(WaitingCall::order);
}
