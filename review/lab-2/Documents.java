/** Configuration documents of the cases. */
final class Documents {
  private Documents() {}

  static final String LIMITS =
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
          + "\"idleTimeoutMs\":15000}";

  static String route(
      String name, String prefix, String kind, int timeoutMillis, int targetMillis,
      String service, int attempts, boolean resumable) {
    return "{\"name\":\"" + name + "\",\"host\":\"site.example\",\"pathPrefix\":\"" + prefix
        + "\",\"kind\":\"" + kind + "\",\"timeoutMs\":" + timeoutMillis
        + ",\"targetLatencyMs\":" + targetMillis + ",\"priority\":0,\"service\":\"" + service
        + "\",\"attempts\":" + attempts + ",\"anonymous\":true,\"sticky\":"
        + kind.equals("stream") + ",\"resumable\":" + resumable + ",\"gapTargetMs\":180}";
  }

  static String plainService(String name) {
    return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConns\":242,"
        + "\"protocol\":\"h1\",\"tls\":false}";
  }

  static String engineService(String name) {
    return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConns\":242,"
        + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":24,\"kvCapacity\":34360,"
        + "\"kvBytes\":18432,\"linkMbps\":2700.0,\"moves\":true,\"backups\":true,\"stride\":4,"
        + "\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handleS\":5.0,"
        + "\"models\":[{\"name\":\"m\"}]}}";
  }

  /** Returns the route as one whose requests need a key. */
  static String withKey(String route) {
    return route.replace("\"anonymous\":true", "\"anonymous\":false");
  }

  /** Returns a tenant with one key; the name is written as a JSON string without its quotes. */
  static String tenant(String jsonName, String key) {
    return "{\"name\":\"" + jsonName + "\",\"apiKeys\":[\"" + key + "\"]}";
  }

  static String withTenants(String document, String... tenants) {
    return document.replace(
        "\"tenants\":[]", "\"tenants\":[" + String.join(",", tenants) + "]");
  }

  static String document(int version, String routes, String services) {
    return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
        + "]," + LIMITS + ",\"tenants\":[]}";
  }
}
