package org.curranthaven.internal.host;

import org.curranthaven.api.Failure;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.routing.RoutingDecision;

/** Words the reasons for which a request is given up. */
final class ShedMessages {
  private ShedMessages() {}

  static Failure failure(RoutingDecision.Shed shed) {
    return switch (shed.reason()) {
      case NO_SERVER ->
          Failure.retryLater(
              ResultCode.NO_BACKEND, "no backend server serves it now", shed.retryAfterMillis());
      case TARGET_UNREACHABLE ->
          Failure.retryLater(
              ResultCode.SHED,
              "its answer could no longer be whole within the class's target",
              shed.retryAfterMillis());
      case QUEUE_FULL ->
          Failure.retryLater(ResultCode.SHED, "the host's queue is full", shed.retryAfterMillis());
    };
  }
}
