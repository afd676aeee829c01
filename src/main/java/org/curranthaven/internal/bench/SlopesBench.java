package org.curranthaven.internal.bench;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.curranthaven.api.Configuration;
import org.curranthaven.api.Targets;
import org.curranthaven.api.Workspace;
import org.curranthaven.internal.configuration.Deltas;
import org.curranthaven.internal.configuration.Edit;
import org.curranthaven.internal.gateway.Hashes;
import org.curranthaven.internal.ledger.LedgerState;
import org.curranthaven.internal.membership.BackendAnnouncement;
import org.curranthaven.internal.membership.BackendView;
import org.curranthaven.internal.routing.BackendReport;
import org.curranthaven.internal.routing.ForecastOptions;
import org.curranthaven.internal.routing.Policy;
import org.curranthaven.internal.routing.RequestAttributes;
import org.curranthaven.internal.routing.RoutingCore;
import org.curranthaven.internal.routing.RoutingEvent;
import org.curranthaven.internal.settings.Json;
import org.curranthaven.internal.standin.LocalFleet;
import org.curranthaven.internal.transport.PeerListener;
import org.curranthaven.internal.transport.PeerNetwork;
import org.curranthaven.internal.transport.wire.ClaimCommand;
import org.curranthaven.internal.transport.wire.ConfigurationDelta;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.FreshnessGrant;
import org.curranthaven.internal.transport.wire.FreshnessRequest;
import org.curranthaven.internal.transport.wire.HostRecord;
import org.curranthaven.internal.transport.wire.LedgerCommand;

/** Measures the cost of the work of each role at several sizes, and fits a line to each series. */
public final class SlopesBench {
  private static final int[] BACKEND_COUNTS = {13, 45, 90, 270, 810};
  private static final int[] WORKSPACE_COUNTS = {10, 100, 1_000, 4_000};
  private static final int[] RECEIVER_COUNTS = {3, 8, 40, 370};
  private static final int[] RECORD_COUNTS = {1_000, 10_000, 40_000};
  private static final int DECISIONS = 4_000;

  /** Open streams of one host at the target load. */
  private static final int OPEN_STREAMS = 115;

  private static final int REPEATS = 5;
  private static final int ENVELOPE_OVERHEAD_BYTES = 12;
  private static final long PUSH_TIMEOUT_SECONDS = 60;
  private static final double NANOS_PER_MICRO = 1e3;

  private final Consumer<String> out;

  /** Creates the benchmark; each line of its report goes to {@code out}. */
  public SlopesBench(Consumer<String> out) {
    this.out = out;
  }

  /** Runs all measurements. */
  public void run() throws IOException, InterruptedException {
    // Warm-up: lets the JVM compile the code before it is measured.
    for (int i = 0; i < REPEATS; i++) {
      decisionP99Micros(BACKEND_COUNTS[2], 500);
      announcementsMicros(BACKEND_COUNTS[2]);
      claimsMicros(new LedgerState(), RECORD_COUNTS[1]);
    }
    measureDecisions();
    measureAnnouncements();
    measureConfiguration();
    measureLedger();
    measurePush();
  }

  private void reportFit(String name, String unit, List<LineFit.Point> points) {
    LineFit fit = LineFit.of(points);
    StringBuilder values = new StringBuilder();
    points.forEach(point -> values.append(" %.0f:%.2f".formatted(point.size(), point.value())));
    out.accept(
        "%-34s %-10s%s | base %.3f slope %.5f error %.0f%%"
            .formatted(
                name, unit, values, fit.intercept(), fit.slope(), 100 * fit.maxRelativeError()));
  }

  // ---- routing ----------------------------------------------------------------------------------

  private void measureDecisions() {
    List<LineFit.Point> withoutQueue = new ArrayList<>();
    List<LineFit.Point> withQueue = new ArrayList<>();
    for (int backends : BACKEND_COUNTS) {
      withoutQueue.add(new LineFit.Point(backends, decisionP99Micros(backends, 0)));
      withQueue.add(new LineFit.Point(backends, decisionP99Micros(backends, 500)));
    }
    reportFit("decision p99, by backend servers", "us", withoutQueue);
    reportFit("decision p99, 500 queued", "us", withQueue);
    List<LineFit.Point> byQueue = new ArrayList<>();
    for (int queuedRequests : new int[] {0, 500, 2_000, 10_000}) {
      byQueue.add(new LineFit.Point(queuedRequests, decisionP99Micros(90, queuedRequests)));
    }
    reportFit("decision p99 by queue, 90 backends", "us", byQueue);
    List<LineFit.Point> ticks = new ArrayList<>();
    for (int backends : BACKEND_COUNTS) {
      ticks.add(new LineFit.Point(backends, tickMicros(backends)));
    }
    reportFit("tick, 115 streams and 500 queued", "us", ticks);
  }

  /**
   * Returns the 99th percentile of the time to handle an arrival.
   *
   * @param backends number of backend servers
   * @param queuedRequests number of queued requests; if positive, the memory of every backend
   *     server is full
   */
  private static double decisionP99Micros(int backends, int queuedRequests) {
    RoutingCore core =
        new RoutingCore(
            "host-1", new Policy.Forecast(ForecastOptions.standard()), new SplittableRandom(1));
    int usedBlocks = queuedRequests > 0 ? 2_000 : 200;
    for (int i = 0; i < backends; i++) {
      core.handle(new RoutingEvent.BackendReported(backendReport("engine-" + i, usedBlocks)), 0);
    }
    long requestId = 1;
    for (int i = 0; i < queuedRequests; i++) {
      core.handle(new RoutingEvent.Arrived(request(requestId++)), 1);
    }
    long[] decisionNanos = new long[DECISIONS];
    for (int i = 0; i < 2 * DECISIONS; i++) {
      RoutingEvent arrival = new RoutingEvent.Arrived(request(requestId));
      long startNanos = System.nanoTime();
      core.handle(arrival, 2);
      decisionNanos[i % DECISIONS] = System.nanoTime() - startNanos;
      core.handle(new RoutingEvent.Abandoned(requestId), 2);
      core.handle(
          new RoutingEvent.Finished(requestId++, 20, RoutingEvent.RequestOutcome.CANCELLED), 2);
    }
    Arrays.sort(decisionNanos);
    return decisionNanos[(int) (DECISIONS * 0.99)] / NANOS_PER_MICRO;
  }

  /** Returns the shortest time of a tick with {@link #OPEN_STREAMS} streams and a queue. */
  private static double tickMicros(int backends) {
    RoutingCore core =
        new RoutingCore(
            "host-1", new Policy.Forecast(ForecastOptions.standard()), new SplittableRandom(1));
    for (int i = 0; i < backends; i++) {
      core.handle(new RoutingEvent.BackendReported(backendReport("engine-" + i, 200)), 0);
    }
    long requestId = 1;
    for (int i = 0; i < OPEN_STREAMS; i++) {
      core.handle(new RoutingEvent.Arrived(request(requestId++)), 1);
    }
    for (int i = 0; i < backends; i++) {
      core.handle(new RoutingEvent.BackendReported(backendReport("engine-" + i, 2_000)), 1);
    }
    for (int i = 0; i < 500; i++) {
      core.handle(new RoutingEvent.Arrived(request(requestId++)), 1);
    }
    double bestMicros = Double.MAX_VALUE;
    for (int repeat = 0; repeat < REPEATS * 20; repeat++) {
      long startNanos = System.nanoTime();
      core.handle(new RoutingEvent.Tick(), 2);
      bestMicros = Math.min(bestMicros, (System.nanoTime() - startNanos) / NANOS_PER_MICRO);
    }
    return bestMicros;
  }

  private static BackendReport backendReport(String name, int usedBlocks) {
    return new BackendReport(
        name,
        "a",
        Set.of("story"),
        2_000,
        usedBlocks,
        usedBlocks / 50,
        0,
        64,
        0,
        Long.MIN_VALUE / 2);
  }

  private static RequestAttributes request(long id) {
    return new RequestAttributes(
        id,
        "w",
        "draft",
        new Targets(4_000, 120, 600_000),
        "story",
        200,
        8_192,
        id % 40 + 1,
        0,
        Set.of());
  }

  // ---- announcements ----------------------------------------------------------------------------

  private void measureAnnouncements() {
    List<LineFit.Point> micros = new ArrayList<>();
    List<LineFit.Point> bytes = new ArrayList<>();
    for (int backends : BACKEND_COUNTS) {
      micros.add(new LineFit.Point(backends, announcementsMicros(backends)));
      long size = 0;
      for (int i = 0; i < backends; i++) {
        size += Json.write(announcement(i, 1)).size() + ENVELOPE_OVERHEAD_BYTES;
      }
      bytes.add(new LineFit.Point(backends, size));
    }
    reportFit("announcements encoded and decoded", "us", micros);
    reportFit("announcements on the wire", "bytes", bytes);
  }

  private static double announcementsMicros(int backends) {
    double bestMicros = Double.MAX_VALUE;
    for (int repeat = 0; repeat < REPEATS * 4; repeat++) {
      BackendView view = new BackendView();
      long startNanos = System.nanoTime();
      for (int i = 0; i < backends; i++) {
        ByteString json = Json.write(announcement(i, repeat));
        view.update(Json.read(json, BackendAnnouncement.class), 5, 0);
      }
      bestMicros = Math.min(bestMicros, (System.nanoTime() - startNanos) / NANOS_PER_MICRO);
    }
    return bestMicros;
  }

  private static BackendAnnouncement announcement(int index, long sequence) {
    return new BackendAnnouncement(
        "engine-" + index,
        1_764_800_000_000L,
        sequence,
        "10.0.0.1:9000",
        "dc-" + index % 9,
        List.of("model-" + index % 40),
        "",
        "general",
        2_000,
        900,
        30,
        0,
        64,
        true,
        BackendAnnouncement.Resume.TAKEOVER,
        true,
        BackendAnnouncement.State.READY);
  }

  // ---- configuration ----------------------------------------------------------------------------

  private static Configuration configurationOf(int workspaces) {
    TreeMap<String, Workspace> byName = new TreeMap<>();
    for (int i = 0; i < workspaces; i++) {
      String name = "workspace-" + i;
      byName.put(name, new Workspace(name, Hashes.sha256Hex(name), "draft", 10));
    }
    return new Configuration(1, new TreeMap<>(), byName, new TreeMap<>(), new TreeMap<>());
  }

  private void measureConfiguration() {
    List<LineFit.Point> bytes = new ArrayList<>();
    List<LineFit.Point> micros = new ArrayList<>();
    for (int workspaces : WORKSPACE_COUNTS) {
      ByteString json = Json.write(configurationOf(workspaces));
      bytes.add(new LineFit.Point(workspaces, json.size()));
      double bestMicros = Double.MAX_VALUE;
      for (int repeat = 0; repeat < REPEATS * 4; repeat++) {
        long startNanos = System.nanoTime();
        Json.read(json, Configuration.class);
        bestMicros = Math.min(bestMicros, (System.nanoTime() - startNanos) / NANOS_PER_MICRO);
      }
      micros.add(new LineFit.Point(workspaces, bestMicros));
    }
    reportFit("configuration size, by workspaces", "bytes", bytes);
    reportFit("configuration decoded", "us", micros);
  }

  // ---- ledger -----------------------------------------------------------------------------------

  private void measureLedger() {
    List<LineFit.Point> heap = new ArrayList<>();
    List<LineFit.Point> micros = new ArrayList<>();
    for (int records : RECORD_COUNTS) {
      LedgerState ledger = new LedgerState();
      long heapBefore = usedHeapBytes();
      micros.add(new LineFit.Point(records, claimsMicros(ledger, records)));
      heap.add(new LineFit.Point(records, usedHeapBytes() - heapBefore));
      if (ledger.size() != records) {
        throw new IllegalStateException(
            "the ledger kept " + ledger.size() + " of " + records + " claims");
      }
    }
    reportFit("all claims applied", "us", micros);
    reportFit("claims on the heap, no responses", "bytes", heap);
  }

  private static double claimsMicros(LedgerState ledger, int records) {
    long startNanos = System.nanoTime();
    for (int i = 0; i < records; i++) {
      ledger.apply(claim(i));
    }
    return (System.nanoTime() - startNanos) / NANOS_PER_MICRO;
  }

  private static LedgerCommand claim(int i) {
    return LedgerCommand.newBuilder()
        .setNowMillis(1_000)
        .setClaim(
            ClaimCommand.newBuilder()
                .setWorkspace("workspace-" + i % 100)
                .setKey("01938f2e-0000-7000-8000-" + (100_000_000_000L + i))
                .setIssuedAtMillis(1_000)
                .setBodyHash(ByteString.copyFrom(new byte[32]))
                .setOwnerHost("accra-1")
                .setOwnerIncarnation(1_764_800_000_000L)
                .setToken("01938f2e-0000-7000-9000-" + (100_000_000_000L + i)))
        .build();
  }

  private static long usedHeapBytes() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  // ---- configuration push -----------------------------------------------------------------------

  private void measurePush() throws IOException, InterruptedException {
    List<LineFit.Point> millis = new ArrayList<>();
    for (int receivers : RECEIVER_COUNTS) {
      millis.add(new LineFit.Point(receivers, pushMillis(receivers)));
    }
    reportFit("change applied by all receivers", "ms", millis);
  }

  /** Encoded as the edits of a {@link ConfigurationDelta}. */
  private record Change(List<Edit> edits) {}

  private static Change changeOf(int workspaces) {
    List<Edit> edits = new ArrayList<>();
    configurationOf(workspaces)
        .workspaces()
        .values()
        .forEach(workspace -> edits.add(new Edit.PutWorkspace(workspace)));
    return new Change(edits);
  }

  /**
   * Returns the shortest time until every receiver has applied a change to a configuration of 4,000
   * workspaces and has acknowledged it.
   */
  private static double pushMillis(int receivers) throws IOException, InterruptedException {
    ConfigurationDelta delta =
        ConfigurationDelta.newBuilder().setRevision(2).setEdits(Json.write(changeOf(1))).build();
    Configuration base = configurationOf(4_000);
    List<String> addresses = LocalFleet.freeAddresses(receivers + 1);
    CountDownLatch[] unacknowledged = {new CountDownLatch(receivers)};
    List<Thread> threads = new ArrayList<>();
    PeerNetwork sender =
        createNetwork(
            "sender",
            addresses.getFirst(),
            List.of(),
            (network, from, message) -> {
              if (message.hasFreshnessRequest()) {
                unacknowledged[0].countDown();
              }
            });
    threads.add(start(sender));
    for (int i = 1; i <= receivers; i++) {
      threads.add(
          start(
              createNetwork(
                  "receiver-" + i,
                  addresses.get(i),
                  List.of(addresses.getFirst()),
                  (network, from, message) -> {
                    Deltas.apply(base, message.getFreshnessGrant().getDeltasList());
                    network.send(
                        from.getName(),
                        Envelope.newBuilder()
                            .setFreshnessRequest(FreshnessRequest.newBuilder().setRevision(1)));
                  })));
    }
    try {
      LocalFleet.await(
          TimeUnit.SECONDS.toMillis(PUSH_TIMEOUT_SECONDS),
          () -> sender.connectedHosts().size() == receivers);
      double bestMillis = Double.MAX_VALUE;
      for (int repeat = 0; repeat < REPEATS; repeat++) {
        unacknowledged[0] = new CountDownLatch(receivers);
        long startNanos = System.nanoTime();
        for (HostRecord host : sender.connectedHosts()) {
          sender.send(
              host.getName(),
              Envelope.newBuilder()
                  .setFreshnessGrant(FreshnessGrant.newBuilder().addDeltas(delta)));
        }
        if (!unacknowledged[0].await(PUSH_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
          throw new IOException(
              unacknowledged[0].getCount()
                  + " of "
                  + receivers
                  + " receivers did not acknowledge the change within "
                  + PUSH_TIMEOUT_SECONDS
                  + " s");
        }
        bestMillis = Math.min(bestMillis, (System.nanoTime() - startNanos) / 1e6);
      }
      return bestMillis;
    } finally {
      threads.forEach(Thread::interrupt);
    }
  }

  /** Handles a message that a network received. */
  private interface MessageHandler {
    void received(PeerNetwork network, HostRecord from, Envelope message);
  }

  /** Returns a network whose messages go to a handler; {@link #start} runs it. */
  private static PeerNetwork createNetwork(
      String name, String address, List<String> contacts, MessageHandler handler) {
    PeerNetwork[] network = new PeerNetwork[1];
    PeerListener listener =
        new PeerListener() {
          @Override
          public void received(HostRecord from, Envelope message) {
            handler.received(network[0], from, message);
          }

          @Override
          public void connected(HostRecord host) {}

          @Override
          public void disconnected(HostRecord host) {}
        };
    HostRecord self = HostRecord.newBuilder().setName(name).setPeerAddress(address).build();
    network[0] = new PeerNetwork(address, contacts, () -> self, listener);
    return network[0];
  }

  private static Thread start(PeerNetwork network) {
    return Thread.ofPlatform()
        .daemon(true)
        .start(
            () -> {
              try {
                network.run();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
  }
}
