package org.curranthaven.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.CatalogCodec;
import org.curranthaven.internal.catalog.CatalogWorkspace;
import org.curranthaven.internal.catalog.ColdStart;
import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.catalog.HomeRegions;
import org.curranthaven.internal.catalog.Repeatability;
import org.curranthaven.internal.catalog.RequestLimits;
import org.curranthaven.internal.catalog.Route;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.curranthaven.internal.catalog.ServiceWeight;
import org.curranthaven.internal.settings.JsonTrees;
import org.jspecify.annotations.Nullable;

/** Decodes the platform's configuration document into a catalog. */
final class CatalogTranslation implements CatalogCodec {
  private static final Pattern URI_PATH = Pattern.compile("/[\\x21-\\x7e]*");

  @Override
  public Outcome<Catalog> decode(byte[] document) {
    try {
      JsonNode root = JsonTrees.read(document);
      if (root == null || !root.isObject()) {
        return invalid("the document is not a JSON object; send the complete configuration");
      }
      return Outcome.success(catalog(root));
    } catch (IOException e) {
      return invalid(
          "the document is incomplete or not valid JSON; send the complete configuration");
    } catch (IllegalArgumentException e) {
      return invalid(String.valueOf(e.getMessage()));
    }
  }

  private static Outcome<Catalog> invalid(String reason) {
    return Outcome.failed(ResultCode.CONFIGURATION_INVALID, reason);
  }

  private static Catalog catalog(JsonNode root) {
    List<Route> routes = new ArrayList<>();
    requiredArray(root, "routes").forEach(node -> routes.add(route(node)));
    List<ServiceSpec> services = new ArrayList<>();
    requiredArray(root, "services").forEach(node -> services.add(service(node)));
    // A tenant of the platform is a workspace. Without the member, no route needs a key.
    JsonNode workspaces = root.get("tenants");
    return new Catalog(
        requiredNumber(root, "version"),
        routes,
        services,
        limits(root.path("limits")),
        workspaces == null || workspaces.isNull()
            ? null
            : workspacesByKey(requiredArray(root, "tenants")));
  }

  private static Route route(JsonNode node) {
    return new Route(
        requiredText(node, "name"),
        requiredText(node, "host").toLowerCase(Locale.ROOT),
        requiredText(node, "pathPrefix"),
        repeatability(requiredText(node, "kind")),
        requiredNumber(node, "timeoutMs"),
        node.path("targetLatencyMs").asLong(node.path("timeoutMs").asLong()),
        node.path("gapTargetMs").asLong(0),
        node.path("priority").asInt(0),
        Math.max(1, node.path("attempts").asInt(1)),
        node.path("anonymous").asBoolean(false),
        node.path("resumable").asBoolean(false),
        serviceWeights(node),
        homeRegions(node));
  }

  private static Repeatability repeatability(String kind) {
    return switch (kind) {
      case "idempotent" -> Repeatability.IDEMPOTENT;
      case "non_idempotent" -> Repeatability.NON_IDEMPOTENT;
      case "stream" -> Repeatability.STREAM;
      default ->
          throw new IllegalArgumentException(
              "unknown kind '" + kind + "'; use idempotent, non_idempotent or stream");
    };
  }

  private static List<ServiceWeight> serviceWeights(JsonNode node) {
    List<ServiceWeight> weights = new ArrayList<>();
    // The "backends" of a route are services with weights, not backend servers.
    if (node.has("backends") && !node.get("backends").isNull()) {
      for (JsonNode entry : requiredArray(node, "backends")) {
        weights.add(
            new ServiceWeight(requiredText(entry, "service"), entry.path("weight").asDouble(0)));
      }
    } else {
      weights.add(new ServiceWeight(requiredText(node, "service"), 1));
    }
    return weights;
  }

  private static ServiceSpec service(JsonNode node) {
    return new ServiceSpec(
        requiredText(node, "name"),
        node.path("maxConns").asInt(0),
        engineCapabilities(node.get("engine")),
        coldStart(node),
        healthPath(node));
  }

  private static String healthPath(JsonNode node) {
    String path = node.path("healthPath").asText();
    return URI_PATH.matcher(path).matches() ? path : "/";
  }

  /** Returns how a backend server behaves after its start; null if its rate is not limited. */
  private static @Nullable ColdStart coldStart(JsonNode node) {
    double requestsPerSecond = node.path("coldPerS").asDouble(0);
    return requestsPerSecond == 0
        ? null
        : new ColdStart(node.path("coldStartS").asDouble(0), requestsPerSecond);
  }

  private static @Nullable EngineCapabilities engineCapabilities(@Nullable JsonNode node) {
    if (node == null || node.isNull()) {
      return null;
    }
    return new EngineCapabilities(
        node.path("slots").asInt(1),
        // Memory of the engine, in tokens.
        node.path("kvCapacity").asInt(1),
        // Output tokens in one event of a stream.
        Math.max(1, node.path("stride").asInt(1)),
        // Whether a running request can be migrated.
        node.path("moves").asBoolean(false),
        node.path("backups").asBoolean(false));
  }

  private static RequestLimits limits(JsonNode node) {
    RequestLimits standard = RequestLimits.standard();
    return new RequestLimits(
        node.path("maxHeaderBytes").asInt(standard.maxHeaderBytes()),
        node.path("maxBodyBytes").asInt(standard.maxBodyBytes()),
        node.path("headerTimeoutMs").asLong(standard.headerTimeoutMillis()),
        node.path("idleTimeoutMs").asLong(standard.idleTimeoutMillis()));
  }

  private static Map<String, CatalogWorkspace> workspacesByKey(JsonNode workspaceNodes) {
    Map<String, CatalogWorkspace> byKey = new HashMap<>();
    for (JsonNode workspaceNode : workspaceNodes) {
      CatalogWorkspace workspace =
          new CatalogWorkspace(
              requiredText(workspaceNode, "name"),
              workspaceNode.path("priority").asInt(-1),
              homeRegions(workspaceNode));
      for (JsonNode key : requiredArray(workspaceNode, "apiKeys")) {
        CatalogWorkspace other = byKey.put(key.asText(), workspace);
        if (other != null && !other.name().equals(workspace.name())) {
          throw new IllegalArgumentException(
              "workspaces "
                  + other.name()
                  + " and "
                  + workspace.name()
                  + " have the same key; give each its own");
        }
      }
    }
    return byKey;
  }

  private static HomeRegions homeRegions(JsonNode node) {
    JsonNode names = node.path("allowedRegions");
    if (names.isMissingNode() || names.isNull()) {
      return HomeRegions.any();
    }
    List<String> regions = new ArrayList<>();
    for (JsonNode name : requiredArray(node, "allowedRegions")) {
      if (!name.isTextual() || name.asText().isEmpty()) {
        throw new IllegalArgumentException(
            "'allowedRegions' holds " + name + "; list names of regions");
      }
      regions.add(name.asText());
    }
    return HomeRegions.of(regions);
  }

  private static JsonNode requiredArray(JsonNode node, String name) {
    JsonNode array = node.get(name);
    if (array == null || !array.isArray()) {
      throw new IllegalArgumentException("'" + name + "' is missing or not an array");
    }
    return array;
  }

  private static String requiredText(JsonNode node, String name) {
    JsonNode text = node.get(name);
    if (text == null || !text.isTextual() || text.asText().isEmpty()) {
      throw new IllegalArgumentException("'" + name + "' is missing, empty or not a string");
    }
    return text.asText();
  }

  private static long requiredNumber(JsonNode node, String name) {
    JsonNode number = node.get(name);
    if (number == null || !number.isNumber()) {
      throw new IllegalArgumentException("'" + name + "' is missing or not a number");
    }
    return number.asLong();
  }
}
