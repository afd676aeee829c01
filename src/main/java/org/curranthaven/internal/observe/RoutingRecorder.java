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
 * Writes every event of a host's routing core to a trace file: a header line, then one JSON line
 * per event. If a write fails, recording stops and the host continues without it. Not thread-safe.
 */
public final class RoutingRecorder {
  private final BufferedWriter writer;
  private boolean failed;

  /**
   * First line of a trace.
   *
   * @param trace format of the trace
   * @param host name of the host that the trace was recorded on
   * @param seed seed of the routing core's random source
   */
  public record Header(String trace, String host, long seed) {
    /** Format of the traces that this class writes. */
    public static final String KIND = "routing-1";
  }

  /**
   * Any further line.
   *
   * @param now time at which the routing core handled the event, in milliseconds
   */
  public record Line(long now, RoutingEvent event) {}

  private RoutingRecorder(BufferedWriter writer) {
    this.writer = writer;
  }

  /**
   * Creates the trace file and writes its header.
   *
   * @throws UncheckedIOException if the file cannot be created
   */
  public static RoutingRecorder start(Path file, String host, long seed) {
    try {
      RoutingRecorder recorder = new RoutingRecorder(Files.newBufferedWriter(file));
      recorder.write(new Header(Header.KIND, host, seed));
      return recorder;
    } catch (IOException e) {
      throw new UncheckedIOException(
          "trace file " + file + " cannot be created; choose a writable path", e);
    }
  }

  /** Appends an event to the trace. */
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
      Logger.error(
          "routing trace cannot be written ({}); recording stopped, the host continues without it",
          e.getMessage());
    }
  }
}
