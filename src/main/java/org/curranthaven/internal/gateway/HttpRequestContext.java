package org.curranthaven.internal.gateway;

import com.sun.net.httpserver.HttpExchange;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import org.curranthaven.api.Failure;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.settings.Json;
import org.curranthaven.internal.transport.wire.StoredResponse;
import org.jspecify.annotations.Nullable;

/** One HTTP request and its response. */
public final class HttpRequestContext implements AutoCloseable {
  private static final int STATUS_OK = 200;
  private static final int STATUS_NO_CONTENT = 204;
  private static final long MILLIS_PER_SECOND = 1_000;

  /** Bytes of a body that are read at once. */
  private static final int PART_BYTES = 16 * 1024;

  private static final long BODY_RETRY_AFTER_MILLIS = 1_000;

  private final HttpExchange exchange;
  private final HeldBodies heldBodies;
  private int heldBytes;
  private boolean responseStarted;

  /** Wraps an exchange of the HTTP server. */
  public HttpRequestContext(HttpExchange exchange, HeldBodies heldBodies) {
    this.exchange = exchange;
    this.heldBodies = heldBodies;
  }

  /** Returns the HTTP method. */
  public String method() {
    return exchange.getRequestMethod();
  }

  /** Returns the decoded path. */
  public String path() {
    return exchange.getRequestURI().getPath();
  }

  /** Returns path and query without decoding. */
  public String rawPath() {
    String query = exchange.getRequestURI().getRawQuery();
    return exchange.getRequestURI().getRawPath() + (query == null ? "" : "?" + query);
  }

  /** Returns the first value of a request header, or null. */
  public @Nullable String header(String name) {
    return exchange.getRequestHeaders().getFirst(name);
  }

  /** Returns whether the response was started. */
  public boolean responseStarted() {
    return responseStarted;
  }

  /** Reads the complete body; fails if it is larger than {@code maxBytes}. */
  public Outcome<byte[]> body(int maxBytes) {
    try {
      InputStream in = exchange.getRequestBody();
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      byte[] part = in.readNBytes(PART_BYTES);
      while (part.length > 0) {
        if (body.size() + part.length > maxBytes) {
          return Outcome.failed(
              ResultCode.BODY_TOO_LARGE, "the body is larger than " + maxBytes + " bytes");
        }
        // The stream doubles as it grows, and is copied once.
        if (!heldBodies.take(body.size(), 2 * part.length)) {
          return new Outcome.Failed<>(
              Failure.retryLater(
                  ResultCode.SHED,
                  "the request was rejected before it ran: all memory for bodies is in use",
                  BODY_RETRY_AFTER_MILLIS));
        }
        heldBytes += 2 * part.length;
        body.writeBytes(part);
        part = in.readNBytes(PART_BYTES);
      }
      return Outcome.success(body.toByteArray());
    } catch (IOException e) {
      return Outcome.failed(
          ResultCode.BODY_TOO_SLOW, "the body could not be read completely: " + e.getMessage());
    }
  }

  /** Sends a JSON response. */
  public void json(int status, Object value) throws IOException {
    send(status, ErrorBodies.JSON, Json.write(value).toByteArray());
  }

  /** Sends a text response. */
  public void text(int status, String contentType, String text) throws IOException {
    send(status, contentType, text.getBytes(java.nio.charset.StandardCharsets.UTF_8));
  }

  /** Sends an error response. */
  public void failure(Failure failure) throws IOException {
    if (failure.retryAfterMillis() > 0) {
      long retryAfterSeconds =
          (failure.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
      exchange.getResponseHeaders().set("Retry-After", String.valueOf(retryAfterSeconds));
    }
    json(failure.code().httpStatus(), ErrorBodies.json(failure));
  }

  /** Sends a stored response. */
  public void sendStored(StoredResponse response) throws IOException {
    send(response.getStatus(), response.getContentType(), response.getBody().toByteArray());
  }

  /** Sets a response header. */
  public void setHeader(String name, String value) {
    exchange.getResponseHeaders().set(name, value);
  }

  /** Starts a response of unknown length and returns its body stream. */
  public OutputStream startStream(String contentType) throws IOException {
    responseStarted = true;
    exchange.getResponseHeaders().set("Content-Type", contentType);
    exchange.sendResponseHeaders(STATUS_OK, 0);
    return exchange.getResponseBody();
  }

  private void send(int status, String contentType, byte[] body) throws IOException {
    responseStarted = true;
    if (!contentType.isEmpty()) {
      exchange.getResponseHeaders().set("Content-Type", contentType);
    }
    boolean noBody = body.length == 0 || status == STATUS_NO_CONTENT;
    exchange.sendResponseHeaders(status, noBody ? -1 : body.length);
    if (!noBody) {
      exchange.getResponseBody().write(body);
    }
  }

  @Override
  public void close() {
    heldBodies.release(heldBytes);
    heldBytes = 0;
    exchange.close();
  }
}
