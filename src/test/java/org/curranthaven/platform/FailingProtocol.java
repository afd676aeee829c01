package org.curranthaven.platform;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.internal.ThreadExecutorMap;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.curranthaven.api.Outcome;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.CatalogCodec;
import org.curranthaven.internal.relay.ControlRequest;
import org.curranthaven.internal.relay.InboundRequest;

/**
 * The platform's protocol, except that a request below {@link #PREFIX} names a way in which the
 * thread that reads it fails, and a catalog with {@link #CONSENSUS_MARK} fails the consensus
 * thread.
 */
public final class FailingProtocol extends PlatformProtocol {
  static final String NAME = "failing";
  static final String PREFIX = "/fail/";
  static final String CONSENSUS_MARK = "fail-consensus";

  private static final long DELAY_MILLIS = 10;

  /** Keeps the heap full. */
  private static final List<Object> GARBAGE = new ArrayList<>();

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public Outcome<InboundRequest> readRequest(FullHttpRequest request) {
    failAsNamed(request.uri());
    return super.readRequest(request);
  }

  @Override
  public ControlRequest readControlRequest(FullHttpRequest request) {
    failAsNamed(request.uri());
    return super.readControlRequest(request);
  }

  private static void failAsNamed(String uri) {
    if (!uri.startsWith(PREFIX)) {
      return;
    }
    EventExecutor loop = ThreadExecutorMap.currentExecutor();
    switch (uri.substring(PREFIX.length())) {
      case "handler" -> fail();
      case "task" -> loop.execute(FailingProtocol::fail);
      case "submitted-task" -> loop.submit(FailingProtocol::fail);
      case "timer" -> loop.schedule(FailingProtocol::fail, DELAY_MILLIS, TimeUnit.MILLISECONDS);
      case "periodic-timer" ->
          loop.scheduleAtFixedRate(
              FailingProtocol::fail, DELAY_MILLIS, DELAY_MILLIS, TimeUnit.MILLISECONDS);
      case "memory" -> fillHeap();
      case "other-thread" -> Thread.ofPlatform().daemon(true).start(FailingProtocol::fail);
      default -> throw new IllegalArgumentException(uri);
    }
  }

  private static void fail() {
    throw new InternalError("simulated");
  }

  /** Leaves less memory than a log line takes. */
  private static void fillHeap() {
    int bytes = 1024 * 1024;
    while (true) {
      try {
        GARBAGE.add(new byte[bytes]);
      } catch (OutOfMemoryError e) {
        if (bytes == 0) {
          throw e;
        }
        bytes /= 2;
      }
    }
  }

  @Override
  public CatalogCodec catalogs() {
    CatalogCodec codec = super.catalogs();
    return new CatalogCodec() {
      @Override
      public Outcome<Catalog> decode(byte[] document) {
        boolean marked =
            new String(document, java.nio.charset.StandardCharsets.UTF_8).contains(CONSENSUS_MARK);
        if (marked && Thread.currentThread().getName().equals("consensus")) {
          fail();
        }
        return codec.decode(document);
      }
    };
  }
}
