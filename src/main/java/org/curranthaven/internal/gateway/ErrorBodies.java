package org.curranthaven.internal.gateway;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import org.curranthaven.api.Failure;
import org.curranthaven.internal.settings.JsonTrees;
import org.curranthaven.internal.transport.wire.StoredResponse;

/** Formats errors for callers as JSON, with the result code and whether the request ran. */
public final class ErrorBodies {
  /** Content type of JSON bodies. */
  public static final String JSON = "application/json";

  private static final int FIRST_SERVER_ERROR_STATUS = 500;

  private ErrorBodies() {}

  /** Returns the error as a JSON object. */
  public static ObjectNode json(Failure failure) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    ObjectNode error = body.putObject("error");
    error.put("message", failure.fullMessage());
    error.put("type", type(failure));
    error.put("code", failure.code().number());
    error.put("ran", failure.ran().wireName());
    body.put("code", failure.code().number());
    body.put("ran", failure.ran().wireName());
    return body;
  }

  private static String type(Failure failure) {
    return failure.code().httpStatus() < FIRST_SERVER_ERROR_STATUS
        ? "invalid_request_error"
        : "server_error";
  }

  /** Returns the error as a response that can be stored for a request. */
  static StoredResponse storedResponse(Failure failure) {
    return StoredResponse.newBuilder()
        .setStatus(failure.code().httpStatus())
        .setContentType(JSON)
        .setBody(ByteString.copyFrom(JsonTrees.write(json(failure))))
        .build();
  }
}
