package org.curranthaven.internal.scheduler;

import org.curranthaven.internal.settings.Json;
import org.jspecify.annotations.Nullable;

/**
 * Response to a control request.
 *
 * @param status HTTP status
 * @param body JSON body
 * @param location path on this host to which the client is redirected; null if it is not
 */
@SuppressWarnings("ArrayRecordComponent")
record ControlResponse(int status, byte[] body, @Nullable String location) {
  private record ErrorBody(String error) {}

  ControlResponse(int status, byte[] body) {
    this(status, body, null);
  }

  /** Returns the response to a request that succeeded. */
  static ControlResponse ok() {
    return new ControlResponse(200, new byte[] {'{', '}'});
  }

  /** Returns the response to a request that failed, with the message as its JSON error. */
  static ControlResponse error(int status, String message) {
    return new ControlResponse(status, Json.write(new ErrorBody(message)).toByteArray());
  }
}
