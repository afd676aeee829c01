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

/** Operators' calls to one host. */
final class AdminClient {
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(20);
  private static final int STATUS_OK = 200;

  private final String host;
  private final HttpClient client =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

  /** Creates a client of the host with the HTTP address. */
  AdminClient(String host) {
    this.host = host;
  }

  /** Returns a JSON page. */
  JsonNode get(String path) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + host + path))
            .timeout(REQUEST_TIMEOUT)
            .build();
    return Json.LENIENT.readTree(client.send(request, HttpResponse.BodyHandlers.ofString()).body());
  }

  /** Returns the configuration in force on the host. */
  Configuration configuration() throws IOException, InterruptedException {
    return Json.MAPPER.treeToValue(get("/admin/v1/configuration"), Configuration.class);
  }

  /** Makes a change on the given revision; returns when it is in force everywhere. */
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

  /** Makes a change on the revision in force on the host, with a new change id. */
  Outcome<JsonNode> submitChange(String operator, List<Edit> edits)
      throws IOException, InterruptedException {
    return submitChange(UUID.randomUUID().toString(), configuration().revision(), operator, edits);
  }

  private static Failure parseFailure(JsonNode body) {
    int number = body.path("code").asInt();
    ResultCode code = ResultCode.INTERNAL;
    for (ResultCode candidate : ResultCode.values()) {
      if (candidate.number() == number) {
        code = candidate;
      }
    }
    String message = body.at("/error/message").asText();
    int end = message.lastIndexOf(" [" + number + "]");
    return Failure.of(code, end < 0 ? message : message.substring(0, end));
  }
}
