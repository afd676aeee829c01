/** Manifests of a small deployment. */
final class Manifests {
  /** Version 1, with one route to a plain service. */
  static final String FIRST =
      "{\"version\":1,\"routes\":[{\"name\":\"page\",\"host\":\"site.example\",\"pathPrefix\":\"/page/\","
          + "\"kind\":\"idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":386,\"priority\":2,"
          + "\"service\":\"app\",\"attempts\":2}],\"services\":[{\"name\":\"app\",\"healthPath\":"
          + "\"/health\",\"maxConns\":100,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
          + "\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
          + "\"idleTimeoutMs\":15000}}";

  private Manifests() {}
}
