package org.curranthaven.internal.host;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import org.curranthaven.internal.configuration.ConfigurationChange;
import org.curranthaven.internal.configuration.Edit;
import org.curranthaven.internal.membership.BackendAnnouncement;
import org.curranthaven.internal.settings.Json;
import org.curranthaven.internal.standin.EngineOptions;
import org.curranthaven.internal.standin.LocalFleet;
import org.curranthaven.internal.standin.StandinOptions;
import org.curranthaven.internal.standin.Workloads;

/** Sends requests of callers and operators to a fleet on loopback, and awaits conditions. */
final class FleetClient {
  static final long CONDITION_TIMEOUT_MILLIS = 120_000;

  /** Timeout of one request; a condition that is awaited sends the request again. */
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);

  private final LocalFleet fleet;
  private final HttpClient httpClient = HttpClient.newHttpClient();

  FleetClient(LocalFleet fleet) {
    this.fleet = fleet;
  }

  interface Condition {
    boolean holds() throws IOException, InterruptedException;
  }

  static void await(Condition condition) throws InterruptedException {
    boolean conditionMet = LocalFleet.await(CONDITION_TIMEOUT_MILLIS, () -> holds(condition));
    assertThat(conditionMet).isTrue();
  }

  private static boolean holds(Condition condition) {
    try {
      return condition.holds();
    } catch (IOException e) {
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  StandinOptions standin(String name, String model) {
    return new StandinOptions(
        name,
        "a",
        0,
        fleet.httpAddresses(),
        model,
        EngineOptions.standard(),
        BackendAnnouncement.Resume.TAKEOVER,
        true);
  }

  String url(int host, String path) {
    return "http://" + fleet.httpAddresses().get(host) + path;
  }

  JsonNode get(int host, String path) throws IOException, InterruptedException {
    HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(url(host, path)));
    return Json.LENIENT.readTree(send(request).body());
  }

  HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
    return httpClient.send(
        request.timeout(REQUEST_TIMEOUT).build(), HttpResponse.BodyHandlers.ofString());
  }

  HttpResponse<String> change(int host, String changeId, long baseRevision, List<Edit> edits)
      throws IOException, InterruptedException {
    String body = Json.text(new ConfigurationChange(changeId, baseRevision, "test", edits));
    return send(
        HttpRequest.newBuilder(URI.create(url(host, "/admin/v1/changes")))
            .POST(HttpRequest.BodyPublishers.ofString(body)));
  }

  /** Returns a request of a caller with the given service class. */
  HttpRequest.Builder callerRequest(int host, String path, String className, String body) {
    return HttpRequest.newBuilder(URI.create(url(host, path)))
        .header("Authorization", "Bearer " + Workloads.API_KEY)
        .header("Curranthaven-Class", className)
        .POST(HttpRequest.BodyPublishers.ofString(body));
  }

  /** Sends a request to the service operation {@code hold} that must not run twice. */
  HttpResponse<String> sendHold(int host, String key, String nonce)
      throws IOException, InterruptedException {
    return send(
        callerRequest(host, "/services/desk/hold", "hold", "{\"nonce\":\"" + nonce + "\"}")
            .header("Idempotency-Key", key));
  }

  /** Returns an idempotency key whose issue time is now. */
  static String newIdempotencyKey() {
    long timestampAndVersion = (System.currentTimeMillis() << 16) | 0x7001L;
    return new UUID(timestampAndVersion, UUID.randomUUID().getLeastSignificantBits()).toString();
  }
}
