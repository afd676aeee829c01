package org.curranthaven.internal.observe;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import org.curranthaven.internal.settings.Json;
import org.jspecify.annotations.Nullable;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Writes each log entry to standard output as one line with a JSON object. It replaces tinylog's
 * own JSON writer, which writes to files only. tinylog finds it under the name {@code json line},
 * which it derives from the class name.
 */
public final class JsonLineWriter implements Writer {
  private final PrintStream out = System.out;

  /**
   * A log line.
   *
   * @param time wall-clock time, in ISO 8601 format
   * @param error logged exception; null if none
   */
  private record Line(String time, String level, String message, @Nullable String error) {}

  /** Creates the writer; tinylog requires the parameter, but no property is used. */
  public JsonLineWriter(Map<String, String> properties) {}

  @Override
  public Collection<LogEntryValue> getRequiredLogEntryValues() {
    return EnumSet.of(
        LogEntryValue.DATE, LogEntryValue.LEVEL, LogEntryValue.MESSAGE, LogEntryValue.EXCEPTION);
  }

  @Override
  public void write(LogEntry entry) {
    Throwable thrown = entry.getException();
    Line line =
        new Line(
            entry.getTimestamp().toInstant().toString(),
            entry.getLevel().name(),
            String.valueOf(entry.getMessage()),
            thrown == null ? null : thrown.toString());
    byte[] bytes = (Json.text(line) + "\n").getBytes(StandardCharsets.UTF_8);
    out.write(bytes, 0, bytes.length);
    out.flush();
  }

  @Override
  public void flush() {
    out.flush();
  }

  @Override
  public void close() {
    out.flush();
  }
}
