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

/**
 * Serves the HTTP requests of operators, backend servers and the platform's load balancer.
 * Thread-safe.
 */
final class AdminApi implements CallerServer.Handler {
  private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final int STATUS_OK = 200;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final String EXPLAIN_PATH_PREFIX = "/admin/v1/explain/";
  private static final long VIEW_TIMEOUT_MILLIS = 2_000;

  private final DecisionLoop decisions;
  private final ChangeClient changeClient;
  private final Metrics metrics;
  private final ExplainLog explainLog;
  private final Supplier<Map<String, Object>> dump;
  private final Supplier<List<HostProcess.HostView>> hosts;
  private final BooleanSupplier draining;

  AdminApi(
      DecisionLoop decisions,
      ChangeClient changeClient,
      Metrics metrics,
      ExplainLog explainLog,
      Supplier<Map<String, Object>> dump,
      Supplier<List<HostProcess.HostView>> hosts,
      BooleanSupplier draining) {
    this.decisions = decisions;
    this.changeClient = changeClient;
    this.metrics = metrics;
    this.explainLog = explainLog;
    this.dump = dump;
    this.hosts = hosts;
    this.draining = draining;
  }

  @Override
  public boolean handle(HttpRequestContext context) throws IOException, InterruptedException {
    String path = context.path();
    switch (path) {
      case "/healthz" -> context.json(STATUS_OK, Map.of("alive", true));
      case "/readyz" -> handleReadiness(context);
      case "/metrics" -> context.text(STATUS_OK, "text/plain; version=0.0.4", metrics.scrape());
      case "/backend/v1/announce" -> handleAnnouncement(context);
      case "/backend/v1/cache-events" -> handleCacheEvents(context);
      case "/admin/v1/configuration" -> context.json(STATUS_OK, decisions.configuration());
      case "/admin/v1/history" -> sendOutcome(context, changeClient.history());
      case "/admin/v1/changes" -> handleChange(context);
      case "/admin/v1/dump" -> context.json(STATUS_OK, dump.get());
      case "/admin/v1/backends" -> handleBackends(context);
      case "/admin/v1/hosts" -> context.json(STATUS_OK, hosts.get());
      case "/admin/v1/status" -> context.json(STATUS_OK, metrics.targetStatuses());
      default -> {
        if (!path.startsWith(EXPLAIN_PATH_PREFIX)) {
          return false;
        }
        String requestName = path.substring(EXPLAIN_PATH_PREFIX.length());
        context.json(
            STATUS_OK,
            Map.of("request", requestName, "decisions", explainLog.entries(requestName)));
      }
    }
    return true;
  }

  private void handleReadiness(HttpRequestContext context) throws IOException {
    boolean fresh = decisions.mayServe();
    boolean ready = fresh && !draining.getAsBoolean();
    context.json(
        ready ? STATUS_OK : STATUS_UNAVAILABLE,
        Map.of("ready", ready, "draining", draining.getAsBoolean(), "fresh", fresh));
  }

  private void handleAnnouncement(HttpRequestContext context) throws IOException {
    Outcome<byte[]> body = context.body(MAX_BODY_BYTES);
    switch (body) {
      case Outcome.Failed<byte[]> failed -> context.failure(failed.failure());
      case Outcome.Success<byte[]> success -> {
        try {
          decisions.backendAnnounced(
              Json.LENIENT.readValue(success.value(), BackendAnnouncement.class), 0, true);
          context.json(STATUS_OK, Map.of("taken", true));
        } catch (JsonProcessingException e) {
          context.failure(
              Failure.of(
                  ResultCode.MALFORMED_BODY,
                  "backend server announcement is not valid JSON of the expected form: "
                      + e.getOriginalMessage()));
        }
      }
    }
  }

  /**
   * Events of one engine's prefix cache.
   *
   * @param name name of the engine
   * @param firstSequence sequence number of the first event
   */
  record CacheEvents(String name, long firstSequence, List<CacheEvent> events) {}

  /**
   * Addition of a prefix to an engine's cache, or its eviction.
   *
   * @param present whether the cache now contains the prefix
   */
  record CacheEvent(long prefixHash, boolean present) {}

  private void handleCacheEvents(HttpRequestContext context) throws IOException {
    Outcome<byte[]> body = context.body(MAX_BODY_BYTES);
    switch (body) {
      case Outcome.Failed<byte[]> failed -> context.failure(failed.failure());
      case Outcome.Success<byte[]> success -> {
        try {
          CacheEvents events = Json.LENIENT.readValue(success.value(), CacheEvents.class);
          for (CacheEvent event : events.events()) {
            decisions.prefixCached(events.name(), event.prefixHash(), event.present());
          }
          context.json(STATUS_OK, Map.of("taken", true));
        } catch (JsonProcessingException e) {
          context.failure(
              Failure.of(
                  ResultCode.MALFORMED_BODY,
                  "cache events are not valid JSON of the expected form: "
                      + e.getOriginalMessage()));
        }
      }
    }
  }

  private void handleChange(HttpRequestContext context) throws IOException, InterruptedException {
    Outcome<byte[]> body = context.body(MAX_BODY_BYTES);
    switch (body) {
      case Outcome.Failed<byte[]> failed -> context.failure(failed.failure());
      case Outcome.Success<byte[]> success -> handleChange(context, success.value());
    }
  }

  private void handleChange(HttpRequestContext context, byte[] body)
      throws IOException, InterruptedException {
    ConfigurationChange change;
    try {
      change = Json.MAPPER.readValue(body, ConfigurationChange.class);
    } catch (JsonProcessingException e) {
      String problem = e.getOriginalMessage();
      context.failure(
          Failure.of(
              ResultCode.CONFIGURATION_INVALID, "configuration change is not valid: " + problem));
      return;
    }
    switch (changeClient.change(change)) {
      case Outcome.Failed<ChangeResult> failed -> context.failure(failed.failure());
      case Outcome.Success<ChangeResult> success -> sendResult(context, success.value());
    }
  }

  private static void sendResult(HttpRequestContext context, ChangeResult result)
      throws IOException {
    switch (result) {
      case ChangeResult.Committed committed -> context.json(STATUS_OK, committed);
      case ChangeResult.Conflict conflict ->
          context.failure(
              Failure.of(
                  ResultCode.REVISION_CONFLICT,
                  ("configuration is already at revision %d: change %s of operator '%s' was committed"
                          + " first; review the current configuration and send the change again"
                          + " under a new id with this base revision")
                      .formatted(
                          conflict.currentRevision(), conflict.changeId(), conflict.operator())));
      case ChangeResult.Invalid invalid ->
          context.failure(
              Failure.of(ResultCode.CONFIGURATION_INVALID, String.join("; ", invalid.faults())));
    }
  }

  private static void sendOutcome(HttpRequestContext context, Outcome<ObjectNode> outcome)
      throws IOException {
    switch (outcome) {
      case Outcome.Failed<ObjectNode> failed -> context.failure(failed.failure());
      case Outcome.Success<ObjectNode> success -> context.json(STATUS_OK, success.value());
    }
  }

  private void handleBackends(HttpRequestContext context) throws IOException, InterruptedException {
    try {
      context.json(
          STATUS_OK, decisions.view().get(VIEW_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).servers());
    } catch (ExecutionException | TimeoutException e) {
      context.failure(
          Failure.of(
              ResultCode.INTERNAL,
              "no response from the decision thread within "
                  + VIEW_TIMEOUT_MILLIS
                  + " ms; try again, and restart the host if this persists"));
    }
  }
}
