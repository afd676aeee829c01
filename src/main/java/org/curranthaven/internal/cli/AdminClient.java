package org.curranthaven.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import org.curranthaven.api.Configuration;
import org.curranthaven.api.Failure;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.configuration.ConfigurationChange;
import org.curranthaven.internal.configuration.Edit;
import org.curranthaven.internal.settings.Json;

/** HTTP client of the admin API of one host. */
final class AdminClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(20);
  private static final int STATUS_OK = 200;

  private final String host;
  private final HttpClient client = HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();

  /**
   * Creates a client.
   *
   * @param host HTTP address of the host
   */
  AdminClient(String host) {
    this.host = host;
  }

  /** Returns the JSON document at a path, whatever the HTTP status of the response. */
  JsonNode get(String path) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + host + path))
            .timeout(REQUEST_TIMEOUT)
            .build();
    return Json.LENIENT.readTree(client.send(request, HttpResponse.BodyHandlers.ofString()).body());
  }

  /** Returns the active configuration of the host. */
  Configuration configuration() throws IOException, InterruptedException {
    return Json.MAPPER.treeToValue(get("/admin/v1/configuration"), Configuration.class);
  }

  /** Submits a change of the given revision; returns when it is active on every host. */
  Outcome<JsonNode> submitChange(
      String changeId, long baseRevision, String operator, List<Edit> edits)
      throws IOException, InterruptedException {
    ConfigurationChange change = new ConfigurationChange(changeId, baseRevision, operator, edits);
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + host + "/admin/v1/changes"))
            .timeout(REQUEST_TIMEOUT)
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(Json.text(change)))
            .build();
    HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
    JsonNode body = Json.LENIENT.readTree(response.body());
    if (response.statusCode() == STATUS_OK) {
      return Outcome.success(body);
    }
    return Outcome.failed(parseFailure(body));
  }

  /** Submits a change of the host's active revision, with a new change id. */
  Outcome<JsonNode> submitChange(String operator, List<Edit> edits)
      throws IOException, InterruptedException {
    return submitChange(UUID.randomUUID().toString(), configuration().revision(), operator, edits);
  }

  private static Failure parseFailure(JsonNode body) {
    int codeNumber = body.path("code").asInt();
    ResultCode code = ResultCode.INTERNAL;
    for (ResultCode candidate : ResultCode.values()) {
      if (candidate.number() == codeNumber) {
        code = candidate;
      }
    }
    // Failure.fullMessage() appends the number and the next step again.
    String message = body.at("/error/message").asText();
    int suffixStart = message.lastIndexOf(" [" + codeNumber + "]");
    return Failure.of(code, suffixStart < 0 ? message : message.substring(0, suffixStart));
  }
}
