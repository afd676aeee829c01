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
import org.curranthaven.internal.transport.wire.StoredAnswer;

/** Calls to plain services over HTTP. Thread-safe; callers block. */
final class ServiceClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final int STATUS_TOO_MANY_REQUESTS = 429;
  private static final int STATUS_UNAVAILABLE = 503;

  /** Header by which a service says that it refused a call before running it. */
  static final String RAN_HEADER = "Curranthaven-Ran";

  /**
   * Idle connections are closed after one second (the system property {@code
   * jdk.httpclient.keepalive.timeout} that the launcher sets), so that a pooled connection was in
   * use within the last second.
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
   * A call to a plain service.
   *
   * @param method HTTP method
   * @param path path and query on the service
   * @param contentType content type of the body, empty for none
   * @param key idempotency key, empty for none
   */
  record ServiceRequest(
      String method, String path, String contentType, ByteString body, String key) {}

  /** How an attempt ended. */
  sealed interface AttemptResult {
    /** The service answered. */
    record Responded(StoredAnswer response) implements AttemptResult {}

    /** No byte left, or the service refused before running. */
    record Rejected(String reason) implements AttemptResult {}

    /** The call may have run. */
    record OutcomeUnknown(String reason) implements AttemptResult {}
  }

  /** Makes one attempt; {@code fresh} asks for a connection of its own. */
  AttemptResult send(String address, ServiceRequest request, long timeoutMillis, boolean fresh)
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
      HttpClient chosen = fresh ? newClient() : client;
      return toResult(chosen.send(builder.build(), HttpResponse.BodyHandlers.ofByteArray()));
    } catch (ConnectException | HttpConnectTimeoutException e) {
      return new AttemptResult.Rejected("no connection: " + e.getMessage());
    } catch (HttpTimeoutException e) {
      return new AttemptResult.OutcomeUnknown("no answer within " + timeoutMillis + " ms");
    } catch (IOException e) {
      return new AttemptResult.OutcomeUnknown("the connection broke: " + e.getMessage());
    }
  }

  private static AttemptResult toResult(HttpResponse<byte[]> response) {
    boolean busy =
        response.statusCode() == STATUS_TOO_MANY_REQUESTS
            || response.statusCode() == STATUS_UNAVAILABLE;
    if (busy && response.headers().firstValue(RAN_HEADER).orElse("").equals("no")) {
      return new AttemptResult.Rejected("the service refused with status " + response.statusCode());
    }
    return new AttemptResult.Responded(
        StoredAnswer.newBuilder()
            .setStatus(response.statusCode())
            .setContentType(response.headers().firstValue("Content-Type").orElse(""))
            .setBody(ByteString.copyFrom(response.body()))
            .build());
  }
}
