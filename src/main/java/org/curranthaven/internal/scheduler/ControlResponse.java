package org.curranthaven.internal.scheduler;

import org.curranthaven.internal.settings.Json;

/**
 * Response to a control request.
 *
 * @param status HTTP status
 * @param body JSON body
 */
@SuppressWarnings("ArrayRecordComponent")
record ControlResponse(int status, byte[] body) {
  private record ErrorBody(String error) {}

  /** Returns the response to a request that succeeded. */
  static ControlResponse ok() {
    return new ControlResponse(200, new byte[] {'{', '}'});
  }

  /** Returns the response to a request that failed, with the message as its JSON error. */
  static ControlResponse error(int status, String message) {
    return new ControlResponse(status, Json.write(new ErrorBody(message)).toByteArray());
  }
}
