package org.curranthaven.internal.host;

import org.curranthaven.api.Failure;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.routing.RoutingDecision;

/** Failures that tell a caller why its request was shed. */
final class ShedMessages {
  private ShedMessages() {}

  static Failure failure(RoutingDecision.Shed shed) {
    return switch (shed.reason()) {
      case NO_SERVER ->
          Failure.retryLater(
              ResultCode.NO_BACKEND,
              "no backend server serves the requested model or service at present",
              shed.retryAfterMillis());
      case TARGET_UNREACHABLE ->
          Failure.retryLater(
              ResultCode.SHED,
              "the response could no longer be complete within the target of its service class",
              shed.retryAfterMillis());
      case QUEUE_FULL ->
          Failure.retryLater(
              ResultCode.SHED, "the request queue of the host is full", shed.retryAfterMillis());
    };
  }
}
