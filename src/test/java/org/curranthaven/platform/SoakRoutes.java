package org.curranthaven.platform;

import java.util.List;
import java.util.SplittableRandom;

/** The routes that callers of a soak use, and what they promise. */
final class SoakRoutes {
  static final String PLAIN = "plain";
  static final String OTHER = "other";
  static final int ATTEMPTS = 4;

  private static final List<String> PREFIXES =
      List.of("/pages/", "/holds/", "/orders/", "/tags/", "/drafts/");

  private SoakRoutes() {}

  /** Returns a catalog with another service, and more attempts and larger bodies than usual. */
  static String catalog() {
    return RoutedFleetFixture.CATALOG
        .formatted(1)
        .replace(
            "\"service\":\"plain\",\"attempts\":2",
            "\"service\":\"plain\",\"attempts\":" + ATTEMPTS)
        .replace(
            "{\"name\":\"holds\"",
            """
            {"name":"orders","host":"site.example","pathPrefix":"/orders/","kind":"non_idempotent",
             "timeoutMs":3000,"targetLatencyMs":400,"priority":0,"service":"other","attempts":1},
            {"name":"holds\"""")
        .replace(
            "{\"name\":\"engines\",",
            """
            {"name":"other","healthPath":"/health","maxConns":100},
            {"name":"engines",""")
        .replace("\"maxBodyBytes\":100000", "\"maxBodyBytes\":4000000");
  }

  static String drawPrefix(SplittableRandom random) {
    return PREFIXES.get(random.nextInt(PREFIXES.size()));
  }

  static String service(String path) {
    return path.startsWith("/orders/") ? OTHER : PLAIN;
  }

  static boolean isStream(String path) {
    return path.startsWith("/drafts/") || mayBeTakenUp(path);
  }

  /** Returns whether a caller may take up a stream that broke off. */
  static boolean mayBeTakenUp(String path) {
    return path.startsWith("/tags/");
  }

  static boolean isRepeatable(String path) {
    return path.startsWith("/pages/") || mayBeTakenUp(path);
  }
}
