package org.curranthaven.api;

/**
 * A model that callers may ask for.
 *
 * @param name unique name, as callers send it
 * @param maxOutputTokens largest answer that may be asked for, in tokens
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
