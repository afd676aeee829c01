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
import org.curranthaven.internal.clients.JdkHttpServers;
import org.curranthaven.internal.supervision.Child;
import org.curranthaven.internal.supervision.ProcessLimits;
import org.tinylog.Logger;

/** HTTP server of a host for callers, backend servers and operators. */
public final class CallerServer implements Child {
  /** Largest number of connections that wait to be accepted. */
  private static final int MAX_PENDING_CONNECTIONS = 1_024;

  private final InetSocketAddress address;
  private final CallerApi callerApi;
  private final Handler adminHandler;
  private final HeldBodies heldBodies = HeldBodies.ofHeap();
  private final AtomicInteger openRequestCount = new AtomicInteger();

  /** Handles requests of operators and backend servers. */
  public interface Handler {
    /** Handles the request; returns whether the path belongs to this handler. */
    boolean handle(HttpRequestContext context) throws IOException, InterruptedException;
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
    HttpServer server = JdkHttpServers.create(address, MAX_PENDING_CONNECTIONS, maxConnections());
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

  /** Returns a third of the descriptors; those to backend servers and other hosts follow them. */
  private static int maxConnections() {
    return ProcessLimits.descriptors() / 3;
  }

  private void handle(HttpExchange exchange) {
    try (HttpRequestContext context = new HttpRequestContext(exchange, heldBodies)) {
      try {
        dispatch(context);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        failIfNotResponded(
            context,
            Failure.of(ResultCode.INTERNAL, "the host stopped before the request was complete"));
      } catch (RuntimeException e) {
        Logger.error(e, "request {} {} failed unexpectedly", context.method(), context.path());
        failIfNotResponded(
            context, Failure.of(ResultCode.INTERNAL, "the request failed unexpectedly: " + e));
      }
    } catch (IOException e) {
      // The caller has closed its connection, so no response can be sent.
    }
  }

  private static void failIfNotResponded(HttpRequestContext context, Failure failure)
      throws IOException {
    if (!context.responseStarted()) {
      context.failure(failure);
    }
  }

  private void dispatch(HttpRequestContext context) throws IOException, InterruptedException {
    if (adminHandler.handle(context)) {
      return;
    }
    openRequestCount.incrementAndGet();
    try {
      callerApi.handle(context);
    } finally {
      openRequestCount.decrementAndGet();
    }
  }
}
