package org.curranthaven.api;

/**
 * A model that callers may request.
 *
 * @param name unique name, as sent in requests
 * @param maxOutputTokens largest output that a request may ask for, in tokens
 */
public record Model(String name, int maxOutputTokens) {
  public Model {
    Names.requireName("model", name);
    if (maxOutputTokens <= 0) {
      throw new IllegalArgumentException(
          "maxOutputTokens of model '" + name + "' must be positive, but is " + maxOutputTokens);
    }
  }
}
