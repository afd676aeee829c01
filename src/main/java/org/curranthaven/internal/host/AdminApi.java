package org.curranthaven.internal.host;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.curranthaven.api.Failure;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.configuration.ChangeResult;
import org.curranthaven.internal.configuration.ConfigurationChange;
import org.curranthaven.internal.gateway.CallerServer;
import org.curranthaven.internal.gateway.HttpRequestContext;
import org.curranthaven.internal.gateway.Metrics;
import org.curranthaven.internal.membership.BackendAnnouncement;
import org.curranthaven.internal.observe.ExplainLog;
import org.curranthaven.internal.settings.Json;

/** Requests of operators, backend servers and the platform's balancer. Thread-safe. */
final class AdminApi implements CallerServer.Handler {
  private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final int STATUS_OK = 200;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final String EXPLAIN_PATH_PREFIX = "/admin/v1/explain/";
  private static final long VIEW_TIMEOUT_MILLIS = 2_000;

  private final DecisionLoop decisions;
  private final ChangeClient changes;
  private final Metrics metrics;
  private final ExplainLog explainLog;
  private final Supplier<Map<String, Object>> dump;
  private final Supplier<List<HostProcess.HostView>> hosts;
  private final BooleanSupplier draining;

  AdminApi(
      DecisionLoop decisions,
      ChangeClient changes,
      Metrics metrics,
      ExplainLog explainLog,
      Supplier<Map<String, Object>> dump,
      Supplier<List<HostProcess.HostView>> hosts,
      BooleanSupplier draining) {
    this.decisions = decisions;
    this.changes = changes;
    this.metrics = metrics;
    this.explainLog = explainLog;
    this.dump = dump;
    this.hosts = hosts;
    this.draining = draining;
  }

  @Override
  public boolean handle(HttpRequestContext exchange) throws IOException, InterruptedException {
    String path = exchange.path();
    switch (path) {
      case "/healthz" -> exchange.json(STATUS_OK, Map.of("alive", true));
      case "/readyz" -> handleReadiness(exchange);
      case "/metrics" -> exchange.text(STATUS_OK, "text/plain; version=0.0.4", metrics.page());
      case "/backend/v1/announce" -> handleAnnouncement(exchange);
      case "/backend/v1/cache-events" -> handleCacheEvents(exchange);
      case "/admin/v1/configuration" -> exchange.json(STATUS_OK, decisions.configuration());
      case "/admin/v1/history" -> sendOutcome(exchange, changes.history());
      case "/admin/v1/changes" -> handleChange(exchange);
      case "/admin/v1/dump" -> exchange.json(STATUS_OK, dump.get());
      case "/admin/v1/backends" -> handleBackends(exchange);
      case "/admin/v1/hosts" -> exchange.json(STATUS_OK, hosts.get());
      case "/admin/v1/status" -> exchange.json(STATUS_OK, metrics.targetStatuses());
      default -> {
        if (!path.startsWith(EXPLAIN_PATH_PREFIX)) {
          return false;
        }
        String name = path.substring(EXPLAIN_PATH_PREFIX.length());
        exchange.json(STATUS_OK, Map.of("request", name, "decisions", explainLog.entries(name)));
      }
    }
    return true;
  }

  private void handleReadiness(HttpRequestContext exchange) throws IOException {
    boolean fresh = decisions.mayServe();
    boolean ready = fresh && !draining.getAsBoolean();
    exchange.json(
        ready ? STATUS_OK : STATUS_UNAVAILABLE,
        Map.of("ready", ready, "draining", draining.getAsBoolean(), "fresh", fresh));
  }

  private void handleAnnouncement(HttpRequestContext exchange) throws IOException {
    Outcome<byte[]> body = exchange.body(MAX_BODY_BYTES);
    switch (body) {
      case Outcome.Failed<byte[]> failed -> exchange.failure(failed.failure());
      case Outcome.Success<byte[]> success -> {
        try {
          decisions.backendAnnounced(
              Json.LENIENT.readValue(success.value(), BackendAnnouncement.class), 0, true);
          exchange.json(STATUS_OK, Map.of("taken", true));
        } catch (JsonProcessingException e) {
          exchange.failure(
              Failure.of(ResultCode.MALFORMED_BODY, "announcement: " + e.getOriginalMessage()));
        }
      }
    }
  }

  /** Numbered events of one engine's prefix cache. */
  record CacheEvents(String name, long firstSequence, List<CacheEvent> events) {}

  /** A prefix that came into the cache, or left it. */
  record CacheEvent(long prefixHash, boolean present) {}

  private void handleCacheEvents(HttpRequestContext exchange) throws IOException {
    Outcome<byte[]> body = exchange.body(MAX_BODY_BYTES);
    switch (body) {
      case Outcome.Failed<byte[]> failed -> exchange.failure(failed.failure());
      case Outcome.Success<byte[]> success -> {
        try {
          CacheEvents events = Json.LENIENT.readValue(success.value(), CacheEvents.class);
          for (CacheEvent event : events.events()) {
            decisions.prefixCached(events.name(), event.prefixHash(), event.present());
          }
          exchange.json(STATUS_OK, Map.of("taken", true));
        } catch (JsonProcessingException e) {
          exchange.failure(
              Failure.of(ResultCode.MALFORMED_BODY, "cache events: " + e.getOriginalMessage()));
        }
      }
    }
  }

  private void handleChange(HttpRequestContext exchange) throws IOException, InterruptedException {
    Outcome<byte[]> body = exchange.body(MAX_BODY_BYTES);
    switch (body) {
      case Outcome.Failed<byte[]> failed -> exchange.failure(failed.failure());
      case Outcome.Success<byte[]> success -> handleChange(exchange, success.value());
    }
  }

  private void handleChange(HttpRequestContext exchange, byte[] body)
      throws IOException, InterruptedException {
    ConfigurationChange change;
    try {
      change = Json.MAPPER.readValue(body, ConfigurationChange.class);
    } catch (JsonProcessingException e) {
      String cause = e.getOriginalMessage();
      exchange.failure(Failure.of(ResultCode.CONFIGURATION_INVALID, "the change: " + cause));
      return;
    }
    switch (changes.change(change)) {
      case Outcome.Failed<ChangeResult> failed -> exchange.failure(failed.failure());
      case Outcome.Success<ChangeResult> success -> sendResult(exchange, success.value());
    }
  }

  private static void sendResult(HttpRequestContext exchange, ChangeResult result)
      throws IOException {
    switch (result) {
      case ChangeResult.Committed committed -> exchange.json(STATUS_OK, committed);
      case ChangeResult.Conflict conflict ->
          exchange.failure(
              Failure.of(
                  ResultCode.REVISION_CONFLICT,
                  "the configuration is at revision %d; change %s of operator '%s' was first"
                      .formatted(
                          conflict.currentRevision(), conflict.changeId(), conflict.operator())));
      case ChangeResult.Invalid invalid ->
          exchange.failure(
              Failure.of(ResultCode.CONFIGURATION_INVALID, String.join("; ", invalid.faults())));
    }
  }

  private static void sendOutcome(HttpRequestContext exchange, Outcome<ObjectNode> outcome)
      throws IOException {
    switch (outcome) {
      case Outcome.Failed<ObjectNode> failed -> exchange.failure(failed.failure());
      case Outcome.Success<ObjectNode> success -> exchange.json(STATUS_OK, success.value());
    }
  }

  private void handleBackends(HttpRequestContext exchange)
      throws IOException, InterruptedException {
    try {
      exchange.json(
          STATUS_OK, decisions.view().get(VIEW_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).servers());
    } catch (ExecutionException | TimeoutException e) {
      exchange.failure(Failure.of(ResultCode.INTERNAL, "the decision thread does not answer"));
    }
  }
}
