package org.curranthaven.internal.observe;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.curranthaven.internal.routing.RoutingEvent;
import org.curranthaven.internal.settings.Json;
import org.tinylog.Logger;

/**
 * Writes every event of a host's routing core to a trace: a header line, then a JSON line an event.
 * When the file cannot be written, recording ends and the host goes on. Used by one thread.
 */
public final class RoutingRecorder {
  private final BufferedWriter writer;
  private boolean failed;

  /**
   * First line of a trace.
   *
   * @param trace kind of the trace
   * @param host host whose core it is
   * @param seed seed of the core's random source
   */
  public record Header(String trace, String host, long seed) {
    /** Kind of the traces that this class writes. */
    public static final String KIND = "routing-1";
  }

  /** Any further line: an event with the core's time, in milliseconds. */
  public record Line(long now, RoutingEvent event) {}

  private RoutingRecorder(BufferedWriter writer) {
    this.writer = writer;
  }

  /** Begins a trace. */
  public static RoutingRecorder start(Path file, String host, long seed) {
    try {
      RoutingRecorder recorder = new RoutingRecorder(Files.newBufferedWriter(file));
      recorder.write(new Header(Header.KIND, host, seed));
      return recorder;
    } catch (IOException e) {
      throw new UncheckedIOException("trace " + file + " cannot be written", e);
    }
  }

  /** Writes an event. */
  public void record(RoutingEvent event, long nowMillis) {
    write(new Line(nowMillis, event));
  }

  private void write(Object line) {
    if (failed) {
      return;
    }
    try {
      writer.write(Json.text(line));
      writer.newLine();
      writer.flush();
    } catch (IOException e) {
      failed = true;
      Logger.error("recording ends: {}", e.getMessage());
    }
  }
}
