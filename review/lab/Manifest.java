/** The manifest of the cases; all routes need a key. */
final class Manifest {
  static final String KEY = "wa5xwyhks8nbkxxmibw6";

  private Manifest() {}

  static String text(int version) {
    return "{\"version\":" + version + ",\"routes\":["
        + route("reads", "/reads/", "idempotent", 800, 150, "app", 2, false)
        + "," + route("orders", "/orders/", "non_idempotent", 20_000, 2_000, "app", 1, false)
        + "," + route("notes", "/notes/", "stream", 20_000, 2_000, "llm", 2, true)
        + "," + route("drafts", "/drafts/", "stream", 39_000, 4_000, "llm", 1, false)
        + "],\"services\":["
        + "{\"name\":\"llm\",\"healthPath\":\"/health\",\"maxConns\":622,\"protocol\":\"h1\",\"tls\":false,"
        + "\"engine\":{\"slots\":24,\"kvCapacity\":34586,\"kvBytes\":18432,\"linkMbps\":2700.0,"
        + "\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\"pinMs\":4000.0,"
        + "\"holdMs\":2000.0,\"handleS\":5.0,\"models\":[{\"name\":\"m\"}]}},"
        + "{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConns\":622,\"protocol\":\"h1\",\"tls\":false}],"
        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
        + "\"idleTimeoutMs\":15000},"
        + "\"tenants\":[{\"name\":\"huka270\",\"apiKeys\":[\"" + KEY + "\"],\"priority\":1}]}";
  }

  private static String route(
      String name,
      String prefix,
      String kind,
      int timeoutMillis,
      int targetMillis,
      String service,
      int attempts,
      boolean resumable) {
    return "{\"name\":\"" + name + "\",\"host\":\"site.example\",\"pathPrefix\":\"" + prefix
        + "\",\"kind\":\"" + kind + "\",\"timeoutMs\":" + timeoutMillis + ",\"targetLatencyMs\":"
        + targetMillis + ",\"priority\":1,\"service\":\"" + service + "\",\"attempts\":" + attempts
        + ",\"anonymous\":false,\"sticky\":" + service.equals("llm") + ",\"resumable\":" + resumable
        + ",\"gapTargetMs\":180}";
  }

  /** Returns the head of a request. */
  static String head(String method, String path, String id, int deadlineMillis, int length) {
    return method + " " + path + " HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: " + id
        + "\r\nDeadline-Ms: " + deadlineMillis + "\r\nX-Api-Key: " + KEY
        + (length < 0 ? "" : "\r\nContent-Length: " + length) + "\r\n";
  }
}
