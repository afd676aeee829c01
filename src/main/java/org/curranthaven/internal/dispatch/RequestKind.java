package org.curranthaven.internal.dispatch;

import org.curranthaven.internal.transport.wire.PlacementRequest;

/** Requests of one service and priority, whose memory is forecast together. */
record RequestKind(String service, int priority) {
  static RequestKind of(PlacementRequest request) {
    return new RequestKind(request.getService(), request.getPriority());
  }
}
