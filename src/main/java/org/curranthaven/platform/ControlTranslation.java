package org.curranthaven.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.curranthaven.internal.relay.ControlRequest;
import org.curranthaven.internal.relay.OperatorCall;
import org.curranthaven.internal.settings.Addresses;
import org.curranthaven.internal.settings.JsonTrees;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.jspecify.annotations.Nullable;

/** Decodes requests of backend servers and operators to the control interface. */
final class ControlTranslation {
  /** Path prefix of registrations; a runner of the platform is a backend server. */
  private static final String REGISTRATION_PATH_PREFIX = "/api/runners/";

  /** Path of the configuration document, which holds the catalog. */
  private static final String CATALOG_PATH = "/api/config";

  /** Path prefix of orders to evacuate a zone of the platform, which is a data centre. */
  private static final String EVACUATION_PATH_PREFIX = "/api/evacuate/";

  private static final int MAX_VERSION_LENGTH = 128;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;

  /** Unlike status 400, this one does not end the operator's call, which may still be repeated. */
  private static final int PRECONDITION_REQUIRED = 428;

  private static final String REVISION = "revision";

  private ControlTranslation() {}

  static ControlRequest read(FullHttpRequest request) {
    String uri = request.uri();
    int queryStart = uri.indexOf('?');
    String path = queryStart < 0 ? uri : uri.substring(0, queryStart);
    String method = request.method().name();
    if (path.startsWith(REGISTRATION_PATH_PREFIX)
        && path.length() > REGISTRATION_PATH_PREFIX.length()) {
      return backendRequest(method, path, request);
    }
    if (path.startsWith(EVACUATION_PATH_PREFIX)) {
      return evacuationRequest(method, path, uri);
    }
    if (path.equals(CATALOG_PATH)) {
      return switch (method) {
        case "PUT" -> new ControlRequest.ReplaceCatalog(ByteBufUtil.getBytes(request.content()));
        case "GET" -> new ControlRequest.ReadCatalog();
        default -> notFound(method, path);
      };
    }
    return notFound(method, path);
  }

  private static ControlRequest backendRequest(
      String method, String path, FullHttpRequest request) {
    String encodedId = path.substring(REGISTRATION_PATH_PREFIX.length());
    String id;
    try {
      id = URLDecoder.decode(encodedId, StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      return new ControlRequest.Invalid(
          BAD_REQUEST,
          "the id '" + encodedId + "' of a backend server is not percent-encoded: send % as %25");
    }
    return switch (method) {
      case "PUT" -> registration(id, ByteBufUtil.getBytes(request.content()));
      case "DELETE" -> deregistration(id, ByteBufUtil.getBytes(request.content()));
      default -> notFound(method, path);
    };
  }

  private static ControlRequest evacuationRequest(String method, String path, String uri) {
    String encodedName = path.substring(EVACUATION_PATH_PREFIX.length());
    String dataCentre;
    try {
      // In a path, unlike in a form, a plus sign stands for itself.
      dataCentre = URLDecoder.decode(encodedName.replace("+", "%2B"), StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      return new ControlRequest.Invalid(
          BAD_REQUEST,
          "the name '" + encodedName + "' of a zone is not percent-encoded: send % as %25");
    }
    if (dataCentre.isEmpty() || encodedName.contains("/")) {
      return notFound(method, path);
    }
    Long revision;
    try {
      revision = revision(uri);
    } catch (IllegalArgumentException e) {
      return new ControlRequest.Invalid(
          PRECONDITION_REQUIRED,
          "the query of '"
              + uri
              + "' does not name one revision, a whole number from 0; send the order without a"
              + " query and follow the redirect");
    }
    return switch (method) {
      case "POST" -> new ControlRequest.Evacuate(dataCentre, revision);
      case "DELETE" -> new ControlRequest.EndEvacuation(dataCentre, revision);
      default -> notFound(method, path);
    };
  }

  /**
   * Returns the revision that the query names; null if it names none.
   *
   * @throws IllegalArgumentException if the query is malformed
   */
  private static @Nullable Long revision(String uri) {
    List<String> values = new QueryStringDecoder(uri).parameters().get(REVISION);
    if (values == null) {
      return null;
    }
    long revision = values.size() == 1 ? Long.parseLong(values.getFirst()) : -1;
    if (revision < 0) {
      throw new IllegalArgumentException("not one whole number from 0");
    }
    return revision;
  }

  /** Encodes an order to evacuate a data centre, or its withdrawal. */
  static OperatorCall evacuationCall(String dataCentre, boolean ends, @Nullable Long revision) {
    String encodedName = URLEncoder.encode(dataCentre, StandardCharsets.UTF_8).replace("+", "%20");
    String query = revision == null ? "" : "?" + REVISION + "=" + revision;
    return new OperatorCall(ends ? "DELETE" : "POST", EVACUATION_PATH_PREFIX + encodedName + query);
  }

  private static ControlRequest notFound(String method, String path) {
    return new ControlRequest.Invalid(NOT_FOUND, "no such control request: " + method + " " + path);
  }

  private static ControlRequest registration(String name, byte[] body) {
    try {
      JsonNode node = JsonTrees.read(body);
      if (node == null || !node.isObject()) {
        throw new IllegalArgumentException("the body is not a JSON object");
      }
      return new ControlRequest.Register(record(name, node));
    } catch (IOException | IllegalArgumentException e) {
      return new ControlRequest.Invalid(
          BAD_REQUEST, "registration of backend server " + name + " rejected: " + e.getMessage());
    }
  }

  /**
   * Decodes a registration. Rejects one that lacks a field or has one of another type, since any
   * client may send registrations.
   */
  private static BackendRecord record(String name, JsonNode node) {
    checkEngineFields(node);
    String address = requiredText(node, "address");
    Addresses.parse(address);
    long slots = requiredWholeNumber(node, "slots");
    if (slots < 1 || slots > Integer.MAX_VALUE) {
      throw new IllegalArgumentException(
          "'slots' is " + slots + "; it must be from 1 to " + Integer.MAX_VALUE);
    }
    BackendRecord.Builder record =
        BackendRecord.newBuilder()
            .setService(requiredText(node, "service"))
            .setAddress(address)
            // A zone of the platform is a data centre.
            .setDataCentre(requiredText(node, "zone"))
            .setSlots((int) slots)
            .setLeaving(isLeaving(requiredText(node, "state")))
            .setSequence(requiredWholeNumber(node, "seq"))
            // Time until the backend server has warmed up.
            .setColdLeftMillis(Math.max(0, requiredWholeNumber(node, "coldLeftMs")))
            // Version of the software, not of the models.
            .setSoftwareVersion(softwareVersion(node));
    if (node.has("born")) {
      long startedAtMillis = requiredWholeNumber(node, "born");
      record
          .setId(incarnationId(name, startedAtMillis))
          .setInstance(name)
          .setIncarnation(startedAtMillis);
    } else {
      record.setId(name);
    }
    return record.build();
  }

  private static String softwareVersion(JsonNode node) {
    String version = requiredText(node, "version");
    if (version.length() > MAX_VERSION_LENGTH) {
      throw new IllegalArgumentException(
          "'version' has "
              + version.length()
              + " characters; it must have at most "
              + MAX_VERSION_LENGTH);
    }
    return version;
  }

  /** Checks the fields that only engines state, and that nothing here uses. */
  private static void checkEngineFields(JsonNode node) {
    if (node.has("stage")) {
      requiredText(node, "stage");
    }
    JsonNode models = node.get("models");
    if (models == null) {
      return;
    }
    if (!models.isArray()) {
      throw new IllegalArgumentException("'models' is not a list");
    }
    for (JsonNode model : models) {
      requiredText(model, "name");
      requiredWholeNumber(model, "version");
    }
  }

  private static String incarnationId(String name, long startedAtMillis) {
    return name + "@" + startedAtMillis;
  }

  private static boolean isLeaving(String state) {
    return switch (state) {
      case "ready" -> false;
      case "draining" -> true;
      default ->
          throw new IllegalArgumentException(
              "unknown state '" + state + "'; use ready or draining");
    };
  }

  private static String requiredText(JsonNode node, String field) {
    JsonNode text = node.get(field);
    if (text == null || !text.isTextual() || text.textValue().isEmpty()) {
      throw new IllegalArgumentException("'" + field + "' is missing, empty or not a string");
    }
    return text.textValue();
  }

  private static long requiredWholeNumber(JsonNode node, String field) {
    JsonNode number = node.get(field);
    if (number == null || !number.canConvertToLong() || !number.isIntegralNumber()) {
      throw new IllegalArgumentException("'" + field + "' is missing or not a whole number");
    }
    return number.longValue();
  }

  /** Decodes a deregistration, whose body may state which start of the instance it is about. */
  private static ControlRequest deregistration(String name, byte[] body) {
    try {
      JsonNode node = JsonTrees.read(body);
      boolean statesStart = node != null && node.has("born");
      return new ControlRequest.Deregister(
          statesStart ? incarnationId(name, requiredWholeNumber(node, "born")) : name);
    } catch (IOException | IllegalArgumentException e) {
      return new ControlRequest.Invalid(
          BAD_REQUEST, "deregistration of backend server " + name + " rejected: " + e.getMessage());
    }
  }
}
