package org.curranthaven.api;

import java.util.regex.Pattern;

/** Validates the names of configured items. */
public final class Names {
  /** Largest length of a name, in characters. */
  public static final int MAX_LENGTH_CHARS = 64;

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]*");

  private Names() {}

  /**
   * Checks a name and returns it.
   *
   * @param kind kind of the named item, for the error message
   * @param name name to check
   * @throws IllegalArgumentException if the name is null, empty, too long or contains a character
   *     that is not allowed
   */
  public static String requireName(String kind, String name) {
    if (name == null || name.length() > MAX_LENGTH_CHARS || !NAME.matcher(name).matches()) {
      throw new IllegalArgumentException(
          ("%s name '%s' must have 1 to %d letters, digits, dots, dashes, colons or underscores,"
                  + " and begin with a letter or digit")
              .formatted(kind, name, MAX_LENGTH_CHARS));
    }
    return name;
  }
}
