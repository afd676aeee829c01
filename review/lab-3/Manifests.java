import java.util.regex.Matcher;
import java.util.regex.Pattern;

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

  private static final Pattern VERSION = Pattern.compile("\"version\"\\s*:\\s*(\\d+)");

  private Manifests() {}

  /** Returns the version of a manifest however it is written, or -1. */
  static int version(String manifest) {
    Matcher version = VERSION.matcher(manifest);
    return version.find() ? Integer.parseInt(version.group(1)) : -1;
  }

  /** Returns whether this is {@link #FIRST}, in any spelling. */
  static boolean isFirst(String manifest) {
    return version(manifest) == 1 && manifest.contains("/page/");
  }
}
