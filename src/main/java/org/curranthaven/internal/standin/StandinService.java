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
 * A stand-in for a plain service. The JSON body of a request holds a {@code nonce} and optionally
 * {@code workMillis}, the processing time; the response repeats the nonce. Thread-safe.
 */
public final class StandinService implements AutoCloseable {
  /** Largest number of connections that wait to be accepted. */
  private static final int MAX_PENDING_CONNECTIONS = 1_024;

  private static final int MAX_BATCH = 256;
  private static final int STATUS_OK = 200;

  private final StandinOptions options;
  private final RunLog runLog;
  private final HttpServer server;
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final AnnouncementSender announcementSender;
  private final long incarnation = System.currentTimeMillis();
  private final AtomicInteger running = new AtomicInteger();
  private volatile BackendAnnouncement.State state = BackendAnnouncement.State.READY;
  private volatile int responsesToWithhold;

  private StandinService(StandinOptions options, RunLog runLog) throws IOException {
    this.options = options;
    this.runLog = runLog;
    this.server =
        HttpServer.create(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), options.port()),
            MAX_PENDING_CONNECTIONS);
    server.setExecutor(executor);
    server.createContext("/", this::handle);
    server.start();
    this.announcementSender = new AnnouncementSender(options.hosts(), this::announcement);
  }

  /** Starts a service, which listens for requests and sends announcements. */
  public static StandinService start(StandinOptions options, RunLog runLog) throws IOException {
    return new StandinService(options, runLog);
  }

  /** Returns the service's address. */
  public String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Sets the service's state, for example leaving or ready, and announces it at once. */
  public void announceState(BackendAnnouncement.State newState) {
    state = newState;
    announcementSender.sendAnnouncement();
  }

  /** Runs the next {@code count} requests but never responds to them. */
  public void withholdNextResponses(int count) {
    responsesToWithhold = count;
  }

  @Override
  public void close() {
    announcementSender.close();
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

  private void handle(HttpExchange exchange) throws IOException {
    running.incrementAndGet();
    try (exchange) {
      JsonNode body = Json.LENIENT.readTree(exchange.getRequestBody().readAllBytes());
      String nonce = body.path("nonce").asText();
      runLog.recordStart(nonce);
      Thread.sleep(body.path("workMillis").asLong(0));
      if (takeWithheldResponse()) {
        Thread.sleep(Long.MAX_VALUE);
      }
      byte[] responseBody =
          Json.write(
                  Json.MAPPER.createObjectNode().put("nonce", nonce).put("service", options.name()))
              .toByteArray();
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(STATUS_OK, responseBody.length);
      exchange.getResponseBody().write(responseBody);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      running.decrementAndGet();
    }
  }

  /** Returns whether this request's response is to be withheld, and counts it if so. */
  private synchronized boolean takeWithheldResponse() {
    if (responsesToWithhold == 0) {
      return false;
    }
    responsesToWithhold--;
    return true;
  }
}
