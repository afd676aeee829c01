package org.curranthaven.api;

/**
 * A customer of the system.
 *
 * @param name unique name
 * @param keySha256 SHA-256 of the bearer key, in lower-case hexadecimal
 * @param defaultClass class of requests that name none
 * @param requestsPerSecond limit over all hosts; 0 means no limit
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
          "requestsPerSecond of workspace '" + name + "' must not be negative");
    }
  }
}
