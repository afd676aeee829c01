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
 * Writes each log entry as one JSON object on one line of standard output. tinylog's own JSON
 * writer writes to files only; this one is found by the name {@code json line}.
 */
public final class JsonLineWriter implements Writer {
  private final PrintStream out = System.out;

  /**
   * One line.
   *
   * @param time wall-clock time, as ISO 8601
   * @param error what was thrown; null where nothing was
   */
  private record Line(String time, String level, String message, @Nullable String error) {}

  /** Creates the writer; tinylog passes its properties, of which it needs none. */
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
    byte[] text = (Json.text(line) + "\n").getBytes(StandardCharsets.UTF_8);
    out.write(text, 0, text.length);
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
