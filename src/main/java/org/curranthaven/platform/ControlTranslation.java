package org.curranthaven.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import java.io.IOException;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.curranthaven.internal.relay.ControlRequest;
import org.curranthaven.internal.relay.OperatorCall;
import org.curranthaven.internal.settings.Addresses;
import org.curranthaven.internal.settings.JsonTrees;
import org.curranthaven.internal.transport.wire.BackendRecord;

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
      return evacuationRequest(method, path);
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
      case "DELETE" -> new ControlRequest.Deregister(id);
      default -> notFound(method, path);
    };
  }

  private static ControlRequest evacuationRequest(String method, String path) {
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
    return switch (method) {
      case "POST" -> new ControlRequest.Evacuate(dataCentre);
      case "DELETE" -> new ControlRequest.EndEvacuation(dataCentre);
      default -> notFound(method, path);
    };
  }

  /** Encodes an order to evacuate a data centre, or its withdrawal. */
  static OperatorCall evacuationCall(String dataCentre, boolean ends) {
    String encodedName = URLEncoder.encode(dataCentre, StandardCharsets.UTF_8).replace("+", "%20");
    return new OperatorCall(ends ? "DELETE" : "POST", EVACUATION_PATH_PREFIX + encodedName);
  }

  /** Returns the version; empty, as if there were none, if it is no text of a usual length. */
  private static String softwareVersion(JsonNode version) {
    return version.isTextual() && version.textValue().length() <= MAX_VERSION_LENGTH
        ? version.textValue()
        : "";
  }

  private static ControlRequest notFound(String method, String path) {
    return new ControlRequest.Invalid(NOT_FOUND, "no such control request: " + method + " " + path);
  }

  private static ControlRequest registration(String id, byte[] body) {
    try {
      JsonNode node = JsonTrees.read(body);
      String service = node == null ? "" : node.path("service").asText("");
      String address = node == null ? "" : node.path("address").asText("");
      JsonNode sequence = node == null ? null : node.get("seq");
      if (node == null || service.isEmpty() || sequence == null || !sequence.isIntegralNumber()) {
        return new ControlRequest.Invalid(
            BAD_REQUEST,
            "registration of backend server "
                + id
                + " rejected: it needs a non-empty 'service' and a whole number 'seq'");
      }
      Addresses.parse(address);
      return new ControlRequest.Register(
          BackendRecord.newBuilder()
              .setId(id)
              .setService(service)
              .setAddress(address)
              // A zone of the platform is a data centre.
              .setDataCentre(node.path("zone").asText(""))
              .setSlots(Math.max(1, node.path("slots").asInt(1)))
              .setLeaving(node.path("state").asText("").equals("draining"))
              .setSequence(sequence.asLong())
              // Time until the backend server has warmed up.
              .setColdLeftMillis(Math.max(0, node.path("coldLeftMs").asLong(0)))
              // Version of the software, not of the models.
              .setSoftwareVersion(softwareVersion(node.path("version")))
              .build());
    } catch (IOException | IllegalArgumentException e) {
      return new ControlRequest.Invalid(
          BAD_REQUEST, "registration of backend server " + id + " rejected: " + e.getMessage());
    }
  }
}
