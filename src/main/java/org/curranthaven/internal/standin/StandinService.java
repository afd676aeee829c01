package org.curranthaven.internal.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.curranthaven.internal.membership.BackendAnnouncement;
import org.curranthaven.internal.settings.Json;

/**
 * A stand-in for a plain service. A call's JSON body holds a {@code nonce} and may hold {@code
 * workMillis}; the answer repeats the nonce. Thread-safe.
 */
public final class StandinService implements AutoCloseable {
  private static final int BACKLOG = 1_024;
  private static final int MAX_BATCH = 256;
  private static final int STATUS_OK = 200;

  private final StandinOptions options;
  private final RunLog runLog;
  private final HttpServer server;
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final Announcer announcer;
  private final long incarnation = System.currentTimeMillis();
  private final AtomicInteger running = new AtomicInteger();
  private volatile BackendAnnouncement.State state = BackendAnnouncement.State.READY;
  private volatile int silentCalls;

  private StandinService(StandinOptions options, RunLog runLog) throws IOException {
    this.options = options;
    this.runLog = runLog;
    this.server =
        HttpServer.create(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), options.port()), BACKLOG);
    server.setExecutor(executor);
    server.createContext("/", this::handle);
    server.start();
    this.announcer = new Announcer(options.hosts(), this::announcement);
  }

  /** Starts a service. */
  public static StandinService start(StandinOptions options, RunLog runLog) throws IOException {
    return new StandinService(options, runLog);
  }

  /** Returns the service's address. */
  public String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Announces that the service leaves or is ready. */
  public void announceState(BackendAnnouncement.State newState) {
    state = newState;
    announcer.announce();
  }

  /** Runs the next {@code calls} calls but never answers them. */
  public void silenceNextCalls(int calls) {
    silentCalls = calls;
  }

  @Override
  public void close() {
    announcer.close();
    server.stop(0);
    executor.shutdownNow();
  }

  private BackendAnnouncement announcement(long sequence) {
    return new BackendAnnouncement(
        options.name(),
        incarnation,
        sequence,
        address(),
        options.dataCentre(),
        List.of(),
        options.model(),
        "",
        0,
        0,
        running.get(),
        0,
        MAX_BATCH,
        false,
        BackendAnnouncement.Resume.NONE,
        options.checksFencing(),
        state);
  }

  private void handle(HttpExchange http) throws IOException {
    running.incrementAndGet();
    try (http) {
      JsonNode body = Json.LENIENT.readTree(http.getRequestBody().readAllBytes());
      String nonce = body.path("nonce").asText();
      runLog.started(nonce);
      Thread.sleep(body.path("workMillis").asLong(0));
      if (takeSilentCall()) {
        Thread.sleep(Long.MAX_VALUE);
      }
      byte[] answer =
          Json.write(
                  Json.MAPPER.createObjectNode().put("nonce", nonce).put("service", options.name()))
              .toByteArray();
      http.getResponseHeaders().set("Content-Type", "application/json");
      http.sendResponseHeaders(STATUS_OK, answer.length);
      http.getResponseBody().write(answer);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      running.decrementAndGet();
    }
  }

  private synchronized boolean takeSilentCall() {
    if (silentCalls == 0) {
      return false;
    }
    silentCalls--;
    return true;
  }
}
