package org.curranthaven.api;

import java.util.regex.Pattern;

/** Rule for the names that operators give. */
public final class Names {
  /** Longest name, in characters. */
  public static final int MAX_LENGTH_CHARS = 64;

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]*");

  private Names() {}

  /**
   * Checks a name and returns it.
   *
   * @throws IllegalArgumentException if the name is empty, too long or has other characters
   */
  public static String requireName(String kind, String name) {
    if (name == null || name.length() > MAX_LENGTH_CHARS || !NAME.matcher(name).matches()) {
      throw new IllegalArgumentException(
          "%s name '%s' must have 1 to %d letters, digits, dots, dashes, colons or underscores"
              .formatted(kind, name, MAX_LENGTH_CHARS));
    }
    return name;
  }
}
