package org.curranthaven.internal.gateway;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.concurrent.Executors;
import org.curranthaven.internal.relay.StatusCodes;
import org.curranthaven.internal.transport.wire.StoredResponse;

/** HTTP client for plain services. Thread-safe; blocking. */
final class ServiceClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final int STATUS_TOO_MANY_REQUESTS = 429;
  private static final int STATUS_UNAVAILABLE = 503;

  /** Header in which a service reports whether a request ran; {@code no} if it was rejected. */
  static final String RAN_HEADER = "Curranthaven-Ran";

  /**
   * Client with pooled connections. {@code Main} sets the system property {@code
   * jdk.httpclient.keepalive.timeout} to close idle connections after one second, so a pooled
   * connection was in use within the last second.
   */
  private final HttpClient client = newClient();

  private static HttpClient newClient() {
    return HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(CONNECT_TIMEOUT)
        .executor(Executors.newVirtualThreadPerTaskExecutor())
        .build();
  }

  /**
   * A request to a plain service.
   *
   * @param method HTTP method
   * @param path path and query of the request at the service
   * @param contentType content type of the body; empty if there is none
   * @param body request body
   * @param key idempotency key; empty if there is none
   */
  record ServiceRequest(
      String method, String path, String contentType, ByteString body, String key) {}

  /** Result of an attempt. */
  sealed interface AttemptResult {
    /** The service responded. */
    record Responded(StoredResponse response) implements AttemptResult {}

    /** No byte was sent, or the service rejected the request before running it. */
    record Rejected(String reason) implements AttemptResult {}

    /** The request may have run. */
    record OutcomeUnknown(String reason) implements AttemptResult {}
  }

  /** Makes one attempt, on a new connection if {@code newConnection} is true. */
  AttemptResult send(
      String address, ServiceRequest request, long timeoutMillis, boolean newConnection)
      throws InterruptedException {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://" + address + request.path()))
            .timeout(Duration.ofMillis(Math.max(1, timeoutMillis)))
            .method(
                request.method(),
                HttpRequest.BodyPublishers.ofByteArray(request.body().toByteArray()));
    if (!request.contentType().isEmpty()) {
      builder.header("Content-Type", request.contentType());
    }
    if (!request.key().isEmpty()) {
      builder.header("Idempotency-Key", request.key());
    }
    try {
      HttpClient selectedClient = newConnection ? newClient() : client;
      return toResult(
          selectedClient.send(builder.build(), HttpResponse.BodyHandlers.ofByteArray()));
    } catch (ConnectException | HttpConnectTimeoutException e) {
      return new AttemptResult.Rejected("connection failed: " + e.getMessage());
    } catch (HttpTimeoutException e) {
      return new AttemptResult.OutcomeUnknown("no response within " + timeoutMillis + " ms");
    } catch (IOException e) {
      return new AttemptResult.OutcomeUnknown("connection lost: " + e.getMessage());
    }
  }

  private static AttemptResult toResult(HttpResponse<byte[]> response) {
    if (!StatusCodes.isValid(response.statusCode())) {
      return new AttemptResult.OutcomeUnknown(
          "the service answered with " + response.statusCode() + ", which is no status");
    }
    boolean overloaded =
        response.statusCode() == STATUS_TOO_MANY_REQUESTS
            || response.statusCode() == STATUS_UNAVAILABLE;
    if (overloaded && response.headers().firstValue(RAN_HEADER).orElse("").equals("no")) {
      return new AttemptResult.Rejected(
          "the service rejected the request with status " + response.statusCode());
    }
    return new AttemptResult.Responded(
        StoredResponse.newBuilder()
            .setStatus(response.statusCode())
            .setContentType(response.headers().firstValue("Content-Type").orElse(""))
            .setBody(ByteString.copyFrom(response.body()))
            .build());
  }
}
