package org.curranthaven.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.CatalogCodec;
import org.curranthaven.internal.catalog.CatalogWorkspace;
import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.catalog.Repeatability;
import org.curranthaven.internal.catalog.RequestLimits;
import org.curranthaven.internal.catalog.Route;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.curranthaven.internal.catalog.ServiceWeight;
import org.curranthaven.internal.settings.Json;
import org.jspecify.annotations.Nullable;

/** Reads the platform's configuration document. */
final class CatalogTranslation implements CatalogCodec {
  @Override
  public Outcome<Catalog> decode(byte[] document) {
    try {
      JsonNode root = Json.LENIENT.readTree(document);
      if (root == null || !root.isObject()) {
        return invalid("the document is no object");
      }
      return Outcome.success(catalog(root));
    } catch (IOException e) {
      return invalid("the document is not whole JSON");
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
    JsonNode tenants = root.get("tenants");
    return new Catalog(
        requiredNumber(root, "version"),
        routes,
        services,
        limits(root.path("limits")),
        tenants == null || tenants.isNull()
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
        serviceWeights(node));
  }

  private static Repeatability repeatability(String word) {
    return switch (word) {
      case "idempotent" -> Repeatability.IDEMPOTENT;
      case "non_idempotent" -> Repeatability.NON_IDEMPOTENT;
      case "stream" -> Repeatability.STREAM;
      default -> throw new IllegalArgumentException("unknown kind '" + word + "'");
    };
  }

  private static List<ServiceWeight> serviceWeights(JsonNode node) {
    List<ServiceWeight> shares = new ArrayList<>();
    if (node.has("backends") && !node.get("backends").isNull()) {
      for (JsonNode share : requiredArray(node, "backends")) {
        shares.add(
            new ServiceWeight(requiredText(share, "service"), share.path("weight").asDouble(0)));
      }
    } else {
      shares.add(new ServiceWeight(requiredText(node, "service"), 1));
    }
    return shares;
  }

  private static ServiceSpec service(JsonNode node) {
    return new ServiceSpec(
        requiredText(node, "name"),
        node.path("maxConns").asInt(0),
        engineCapabilities(node.get("engine")));
  }

  private static @Nullable EngineCapabilities engineCapabilities(@Nullable JsonNode node) {
    if (node == null || node.isNull()) {
      return null;
    }
    return new EngineCapabilities(
        node.path("slots").asInt(1),
        node.path("kvCapacity").asInt(1),
        Math.max(1, node.path("stride").asInt(1)),
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

  private static Map<String, CatalogWorkspace> workspacesByKey(JsonNode tenants) {
    Map<String, CatalogWorkspace> byKey = new HashMap<>();
    for (JsonNode tenant : tenants) {
      CatalogWorkspace workspace =
          new CatalogWorkspace(requiredText(tenant, "name"), tenant.path("priority").asInt(-1));
      for (JsonNode key : requiredArray(tenant, "apiKeys")) {
        CatalogWorkspace other = byKey.put(key.asText(), workspace);
        if (other != null && !other.name().equals(workspace.name())) {
          throw new IllegalArgumentException("two workspaces share a key");
        }
      }
    }
    return byKey;
  }

  private static JsonNode requiredArray(JsonNode node, String name) {
    JsonNode list = node.get(name);
    if (list == null || !list.isArray()) {
      throw new IllegalArgumentException("'" + name + "' is no list");
    }
    return list;
  }

  private static String requiredText(JsonNode node, String name) {
    JsonNode text = node.get(name);
    if (text == null || !text.isTextual() || text.asText().isEmpty()) {
      throw new IllegalArgumentException("'" + name + "' is no text");
    }
    return text.asText();
  }

  private static long requiredNumber(JsonNode node, String name) {
    JsonNode number = node.get(name);
    if (number == null || !number.isNumber()) {
      throw new IllegalArgumentException("'" + name + "' is no number");
    }
    return number.asLong();
  }
}
