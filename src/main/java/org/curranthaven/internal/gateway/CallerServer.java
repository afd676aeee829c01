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

/** The HTTP server of a host, for callers, backend servers and operators. */
public final class CallerServer implements Child {
  private static final int BACKLOG = 1_024;

  private final InetSocketAddress address;
  private final CallerApi callerApi;
  private final Handler adminHandler;
  private final AtomicInteger openRequestCount = new AtomicInteger();

  /** Handles the requests of operators and backend servers. */
  public interface Handler {
    /** Answers the request; returns false if the path is not its own. */
    boolean handle(HttpRequestContext exchange) throws IOException, InterruptedException;
  }

  /** Creates the server; it listens while {@link #run} runs. */
  public CallerServer(InetSocketAddress address, CallerApi callers, Handler operators) {
    this.address = address;
    this.callerApi = callers;
    this.adminHandler = operators;
  }

  /** Returns the number of callers' requests that are open. */
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
        failIfUnanswered(exchange, Failure.of(ResultCode.INTERNAL, "the host is stopping at once"));
      } catch (RuntimeException e) {
        Logger.error(e, "a request failed");
        failIfUnanswered(exchange, Failure.of(ResultCode.INTERNAL, "the request failed: " + e));
      }
    } catch (IOException e) {
      // The caller has closed its connection; there is nobody to tell.
    }
  }

  private static void failIfUnanswered(HttpRequestContext exchange, Failure failure)
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
