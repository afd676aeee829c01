package org.curranthaven.internal.cli;

import org.tinylog.configuration.Configuration;

/** Configures the log output of the process. Call one method, once, before the first log line. */
final class Logging {
  private static final String TEXT_FORMAT = "{date: HH:mm:ss.SSS} {level} {message}";

  private Logging() {}

  /**
   * Logs from level info on.
   *
   * @param json whether to write JSON to standard output instead of text to standard error
   */
  static void configure(boolean json) {
    if (json) {
      Configuration.set("writer", "json line");
    } else {
      Configuration.set("writer", "console");
      Configuration.set("writer.stream", "err");
      Configuration.set("writer.format", TEXT_FORMAT);
    }
    Configuration.set("level", "info");
  }

  /** Logs errors only, as text to standard error. */
  static void configureErrorsOnly() {
    Configuration.set("writer", "console");
    Configuration.set("writer.stream", "err");
    Configuration.set("writer.format", TEXT_FORMAT);
    Configuration.set("level", "error");
  }
}
