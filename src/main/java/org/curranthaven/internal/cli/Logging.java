package org.curranthaven.internal.cli;

import org.tinylog.configuration.Configuration;

/** Sets up log lines. */
final class Logging {
  private Logging() {}

  /**
   * Writes lines as text to standard error, or as JSON to standard output; to be called before the
   * first line.
   */
  static void configure(boolean json) {
    if (json) {
      Configuration.set("writer", "json line");
    } else {
      Configuration.set("writer", "console");
      Configuration.set("writer.stream", "err");
      Configuration.set("writer.format", "{date: HH:mm:ss.SSS} {level} {message}");
    }
    Configuration.set("level", "info");
  }

  /** Writes warnings and errors only. */
  static void configureErrorsOnly() {
    Configuration.set("writer", "console");
    Configuration.set("writer.stream", "err");
    Configuration.set("writer.format", "{date: HH:mm:ss.SSS} {level} {message}");
    Configuration.set("level", "error");
  }
}
