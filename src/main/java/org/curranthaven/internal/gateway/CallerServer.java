package org.curranthaven.internal.gateway;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.curranthaven.api.Failure;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.supervision.Child;
import org.tinylog.Logger;

/** HTTP server of a host for callers, backend servers and operators. */
public final class CallerServer implements Child {
  private static final int BACKLOG = 1_024;

  private final InetSocketAddress address;
  private final CallerApi callerApi;
  private final Handler adminHandler;
  private final AtomicInteger openRequestCount = new AtomicInteger();

  /** Handles requests of operators and backend servers. */
  public interface Handler {
    /** Handles the request; returns whether the path belongs to this handler. */
    boolean handle(HttpRequestContext exchange) throws IOException, InterruptedException;
  }

  /** Creates a server that listens while {@link #run} is running. */
  public CallerServer(InetSocketAddress address, CallerApi callerApi, Handler adminHandler) {
    this.address = address;
    this.callerApi = callerApi;
    this.adminHandler = adminHandler;
  }

  /** Returns the number of callers' requests in progress. */
  public int openRequests() {
    return openRequestCount.get();
  }

  @Override
  public void run() throws IOException, InterruptedException {
    HttpServer server = HttpServer.create(address, BACKLOG);
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      server.setExecutor(executor);
      server.createContext("/", this::handle);
      server.start();
      try {
        Thread.sleep(Long.MAX_VALUE);
      } finally {
        server.stop(0);
        executor.shutdownNow();
      }
    }
  }

  private void handle(HttpExchange http) {
    try (HttpRequestContext exchange = new HttpRequestContext(http)) {
      try {
        dispatch(exchange);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        failIfNotResponded(
            exchange,
            Failure.of(ResultCode.INTERNAL, "the host stopped before the request was complete"));
      } catch (RuntimeException e) {
        Logger.error(e, "request {} {} failed unexpectedly", exchange.method(), exchange.path());
        failIfNotResponded(
            exchange, Failure.of(ResultCode.INTERNAL, "the request failed unexpectedly: " + e));
      }
    } catch (IOException e) {
      // The caller has closed its connection, so no response can be sent.
    }
  }

  private static void failIfNotResponded(HttpRequestContext exchange, Failure failure)
      throws IOException {
    if (!exchange.responseStarted()) {
      exchange.failure(failure);
    }
  }

  private void dispatch(HttpRequestContext exchange) throws IOException, InterruptedException {
    if (adminHandler.handle(exchange)) {
      return;
    }
    openRequestCount.incrementAndGet();
    try {
      callerApi.handle(exchange);
    } finally {
      openRequestCount.decrementAndGet();
    }
  }
}
