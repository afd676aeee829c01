package org.curranthaven.api;

/**
 * A workspace: the unit to which requests are attributed and limits apply.
 *
 * @param name unique name
 * @param keySha256 SHA-256 hash of the bearer key, in lower-case hexadecimal
 * @param defaultClass service class of requests that name none
 * @param requestsPerSecond rate limit over all hosts; 0 means no limit
 */
public record Workspace(
    String name, String keySha256, String defaultClass, double requestsPerSecond) {
  public Workspace {
    Names.requireName("workspace", name);
    Names.requireName("class", defaultClass);
    if (keySha256 == null || !keySha256.matches("[0-9a-f]{64}")) {
      throw new IllegalArgumentException(
          "keySha256 of workspace '" + name + "' must be 64 lower-case hexadecimal digits");
    }
    if (!(requestsPerSecond >= 0)) {
      throw new IllegalArgumentException(
          "requestsPerSecond of workspace '"
              + name
              + "' must be 0 or more, but is "
              + requestsPerSecond);
    }
  }
}
