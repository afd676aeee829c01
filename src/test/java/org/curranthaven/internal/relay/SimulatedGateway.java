package org.curranthaven.internal.relay;

import java.util.Collection;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.dispatch.DispatchFeatures;
import org.curranthaven.internal.dispatch.RetryLimits;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.jspecify.annotations.Nullable;

/** A gateway over simulated time, whose requests fail at random and are retried where allowed. */
public final class SimulatedGateway {
  private static final int ATTEMPTS = 3;
  private static final long RESPONSE_MILLIS = 30;

  /** Longest time until a connection is open. */
  private static final int MAX_CONNECT_MILLIS = 400;

  private final ManualTime time;
  private final SplittableRandom random;
  private final double failedShare;
  private final Arrivals arrivals;
  private final SchedulerLink link;
  private long lastId;
  private boolean closed;

  /** Receives what callers send and what backend servers receive. */
  public interface Arrivals {
    /** Handles a request of a caller. */
    void requested(long nowMillis);

    /** Handles the arrival of a request at a backend server, other than its first. */
    void repeated(long nowMillis);
  }

  /** Creates a gateway; {@code sender} sends a message to a control host. */
  public SimulatedGateway(
      String name,
      ManualTime time,
      SplittableRandom random,
      RetryLimits limits,
      double failedShare,
      Catalog catalog,
      BiConsumer<String, Envelope.Builder> sender,
      Arrivals arrivals) {
    this.time = time;
    this.random = random;
    this.failedShare = failedShare;
    this.arrivals = arrivals;
    this.link =
        new SchedulerLink(
            name,
            time.loop(),
            time,
            random,
            limits,
            sender,
            new SchedulerLink.ViewListener() {
              @Override
              public void catalogReceived(byte[] document) {
                activate(catalog);
              }

              @Override
              public void backendsChanged(Collection<BackendRecord> backends) {}
            },
            DispatchFeatures.none());
  }

  private void activate(Catalog catalog) {
    link.activateCatalog(catalog);
  }

  /** Handles a message of a control host. */
  public void received(String host, Envelope message) {
    if (closed) {
      return;
    }
    switch (message.getPayloadCase()) {
      case SCHEDULER_VIEW -> link.handle(host, message.getSchedulerView());
      case DISPATCH_ORDERS -> link.handle(host, message.getDispatchOrders());
      default -> {}
    }
  }

  /** Handles the loss of the connection to a control host. */
  public void disconnected(String host) {
    if (!closed) {
      link.disconnected(host);
    }
  }

  /** Handles a request of a caller. */
  public void request() {
    if (!closed) {
      arrivals.requested(time.nowMillis());
      new Request().place(false);
    }
  }

  /** Kills the gateway. */
  public void close() {
    closed = true;
    link.close();
  }

  private final class Request implements RequestPlacer.PlacementListener {
    private PlacementRequest placement = PlacementRequest.getDefaultInstance();
    private String backend = "";
    private int attempts;

    void place(boolean repeat) {
      PlacementRequest.Builder next =
          PlacementRequest.newBuilder()
              .setId(++lastId)
              .setService("plain")
              .setTargetLeftMillis(500)
              .setDeadlineLeftMillis(3_000)
              .addAllExcluded(placement.getExcludedList())
              .setRepeat(repeat);
      if (repeat) {
        next.addExcluded(backend);
      }
      placement = next.build();
      backend = "";
      link.requestPlacement(placement, this);
    }

    @Override
    public void onPlaced(String newBackend, int urgency, String backup) {
      if (closed) {
        return;
      }
      backend = newBackend;
      attempts++;
      // Most connections are open already.
      long connectMillis = random.nextInt(4) == 0 ? random.nextInt(MAX_CONNECT_MILLIS) : 0;
      time.loop().schedule(this::arrive, connectMillis, TimeUnit.MILLISECONDS);
    }

    private void arrive() {
      if (closed) {
        return;
      }
      if (attempts > 1) {
        arrivals.repeated(time.nowMillis());
      }
      time.loop().schedule(this::end, RESPONSE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void end() {
      if (closed) {
        return;
      }
      boolean failed = random.nextDouble() < failedShare;
      link.reportEnd(
          placement.getId(),
          failed
              ? DispatchOutcome.DISPATCH_OUTCOME_FAILED
              : DispatchOutcome.DISPATCH_OUTCOME_ANSWERED,
          0);
      if (failed && attempts < ATTEMPTS) {
        place(true);
      }
    }

    @Override
    public void onRejected(long retryAfterMillis, String reason) {}

    @Override
    public void onMigrate(String target, String backup) {}

    @Override
    public void onStopped(long retryAfterMillis, String reason) {}

    @Override
    public PlacementRequest placementRequest() {
      return placement;
    }

    @Override
    public int outputTokens() {
      return 0;
    }

    @Override
    public String backend() {
      return backend;
    }

    @Override
    public String backup() {
      return "";
    }

    @Override
    public @Nullable String streamVersion() {
      return null;
    }

    @Override
    public Migration migration() {
      return Migration.NONE;
    }
  }
}
