package org.curranthaven.internal.scheduler;

import org.curranthaven.internal.settings.Json;

/**
 * Answer to a control call.
 *
 * @param status HTTP status
 * @param body JSON body
 */
@SuppressWarnings("ArrayRecordComponent")
record ControlResponse(int status, byte[] body) {
  private record ErrorBody(String error) {}

  /** Returns the answer to a call that was carried out. */
  static ControlResponse ok() {
    return new ControlResponse(200, new byte[] {'{', '}'});
  }

  /** Returns the answer to a call that was not carried out. */
  static ControlResponse error(int status, String message) {
    return new ControlResponse(status, Json.write(new ErrorBody(message)).toByteArray());
  }
}
