package org.curranthaven.internal.observe;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.curranthaven.internal.clients.JdkHttpServers;
import org.curranthaven.internal.settings.Json;

/**
 * Serves {@code GET /metrics} and {@code GET /dump} to the operators of a host with routed
 * requests.
 *
 * <pre>{@code
 * StatusServer.start(address, maxConnections, metrics, gateway::dump);
 * }</pre>
 */
public final class StatusServer {
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final long DUMP_TIMEOUT_MILLIS = 2_000;

  private StatusServer() {}

  /**
   * Starts the server.
   *
   * @param maxConnections most open connections
   * @param dump requests the state of the process; the thread that owns the state completes the
   *     future
   * @throws IOException if the address cannot be listened on
   */
  public static void start(
      InetSocketAddress address,
      int maxConnections,
      RoutedMetrics metrics,
      Supplier<? extends Future<?>> dump)
      throws IOException {
    HttpServer server = JdkHttpServers.create(address, 0, maxConnections);
    // A client that sends its request slowly keeps a thread, which must not be that of all others.
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/metrics", exchange -> respond(exchange, OK, metrics.page()));
    server.createContext("/dump", exchange -> respondWithDump(exchange, dump.get()));
    server.start();
  }

  private static void respondWithDump(HttpExchange exchange, Future<?> state) throws IOException {
    try {
      respond(exchange, OK, Json.text(state.get(DUMP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)));
    } catch (ExecutionException | TimeoutException e) {
      respond(
          exchange,
          UNAVAILABLE,
          "{\"error\":\"the state dump failed or took longer than "
              + DUMP_TIMEOUT_MILLIS
              + " ms; try again\"}");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void respond(HttpExchange exchange, int status, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(status, bytes.length);
    try (OutputStream out = exchange.getResponseBody()) {
      out.write(bytes);
    }
  }
}
