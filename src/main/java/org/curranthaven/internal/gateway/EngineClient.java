package org.curranthaven.internal.gateway;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodySubscribers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executors;
import org.curranthaven.internal.settings.Json;

/** HTTP client for engines. Thread-safe. */
final class EngineClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(2);
  private static final int STATUS_OK = 200;

  private final HttpClient client = newClient();

  private static HttpClient newClient() {
    return HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(CONNECT_TIMEOUT)
        .executor(Executors.newVirtualThreadPerTaskExecutor())
        .build();
  }

  /** Sends a request and returns its response stream; failures are reported as items too. */
  EngineStream open(String address, String path, ObjectNode body) {
    return open(client, address, path, body);
  }

  /** Does the same over a new connection, since a pooled one may never deliver data again. */
  EngineStream openOnNewConnection(String address, String path, ObjectNode body) {
    return open(newClient(), address, path, body);
  }

  private static EngineStream open(
      HttpClient client, String address, String path, ObjectNode body) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofByteArray(Json.write(body).toByteArray()))
            .build();
    EngineStream stream = new EngineStream();
    client
        .sendAsync(request, info -> createBodySubscriber(info, stream))
        .whenComplete((response, failure) -> handleCompletion(stream, response, failure));
    return stream;
  }

  private static HttpResponse.BodySubscriber<String> createBodySubscriber(
      HttpResponse.ResponseInfo info, EngineStream stream) {
    return info.statusCode() == STATUS_OK
        ? BodySubscribers.fromLineSubscriber(stream, s -> "", StandardCharsets.UTF_8, "\n")
        : BodySubscribers.ofString(StandardCharsets.UTF_8);
  }

  private static void handleCompletion(
      EngineStream stream, HttpResponse<String> response, Throwable failure) {
    if (failure != null) {
      Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
      boolean notConnected =
          cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException;
      stream.end(
          notConnected
              ? new EngineStream.Item.ConnectFailed(String.valueOf(cause))
              : new EngineStream.Item.Closed(String.valueOf(cause)));
    } else if (response.statusCode() != STATUS_OK) {
      stream.end(new EngineStream.Item.ErrorResponse(response.statusCode(), response.body()));
    }
  }

  /** Cancels a generation with a separate request; does not wait for the result. */
  void cancel(String address, String generationId) {
    ObjectNode body = Json.MAPPER.createObjectNode().put("generation_id", generationId);
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + "/v1/cancel"))
            .timeout(CANCEL_TIMEOUT)
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofByteArray(Json.write(body).toByteArray()))
            .build();
    client.sendAsync(request, HttpResponse.BodyHandlers.discarding());
  }
}
