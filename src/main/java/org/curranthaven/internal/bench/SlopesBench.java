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

/** Measures what each role's work costs at several sizes, and fits lines through it. */
public final class SlopesBench {
  private static final int[] BACKEND_COUNTS = {13, 45, 90, 270, 810};
  private static final int[] WORKSPACE_COUNTS = {10, 100, 1_000, 4_000};
  private static final int[] RECEIVER_COUNTS = {3, 8, 40, 370};
  private static final int[] RECORD_COUNTS = {1_000, 10_000, 40_000};
  private static final int DECISIONS = 4_000;
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

  /** Runs everything. */
  public void run() throws IOException, InterruptedException {
    // The code is compiled by the time that it is measured.
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
    List<LineFit.Point> idle = new ArrayList<>();
    List<LineFit.Point> crowded = new ArrayList<>();
    for (int servers : BACKEND_COUNTS) {
      idle.add(new LineFit.Point(servers, decisionP99Micros(servers, 0)));
      crowded.add(new LineFit.Point(servers, decisionP99Micros(servers, 500)));
    }
    reportFit("decision p99, by servers", "us", idle);
    reportFit("decision p99, 500 queued", "us", crowded);
    List<LineFit.Point> byQueue = new ArrayList<>();
    for (int queued : new int[] {0, 500, 2_000, 10_000}) {
      byQueue.add(new LineFit.Point(queued, decisionP99Micros(90, queued)));
    }
    reportFit("decision p99 at 90, by queue", "us", byQueue);
    List<LineFit.Point> ticks = new ArrayList<>();
    for (int servers : BACKEND_COUNTS) {
      ticks.add(new LineFit.Point(servers, tickMicros(servers)));
    }
    reportFit("tick, 115 streams and 500 queued", "us", ticks);
  }

  /** Returns the time to handle an arrival; with a queue, every server's memory is full. */
  private static double decisionP99Micros(int servers, int queued) {
    RoutingCore core =
        new RoutingCore(
            "host-1", new Policy.Forecast(ForecastOptions.standard()), new SplittableRandom(1));
    int used = queued > 0 ? 2_000 : 200;
    for (int i = 0; i < servers; i++) {
      core.handle(new RoutingEvent.BackendReported(backendReport("engine-" + i, used)), 0);
    }
    long id = 1;
    for (int i = 0; i < queued; i++) {
      core.handle(new RoutingEvent.Arrived(request(id++)), 1);
    }
    long[] nanos = new long[DECISIONS];
    for (int i = 0; i < 2 * DECISIONS; i++) {
      RoutingEvent arrival = new RoutingEvent.Arrived(request(id));
      long start = System.nanoTime();
      core.handle(arrival, 2);
      nanos[i % DECISIONS] = System.nanoTime() - start;
      core.handle(new RoutingEvent.Abandoned(id), 2);
      core.handle(new RoutingEvent.Finished(id++, 20, RoutingEvent.RequestOutcome.CANCELLED), 2);
    }
    Arrays.sort(nanos);
    return nanos[(int) (DECISIONS * 0.99)] / NANOS_PER_MICRO;
  }

  /** Returns the mean time of a tick with the target's open streams on a host and a queue. */
  private static double tickMicros(int servers) {
    RoutingCore core =
        new RoutingCore(
            "host-1", new Policy.Forecast(ForecastOptions.standard()), new SplittableRandom(1));
    for (int i = 0; i < servers; i++) {
      core.handle(new RoutingEvent.BackendReported(backendReport("engine-" + i, 200)), 0);
    }
    long id = 1;
    for (int i = 0; i < OPEN_STREAMS; i++) {
      core.handle(new RoutingEvent.Arrived(request(id++)), 1);
    }
    for (int i = 0; i < servers; i++) {
      core.handle(new RoutingEvent.BackendReported(backendReport("engine-" + i, 2_000)), 1);
    }
    for (int i = 0; i < 500; i++) {
      core.handle(new RoutingEvent.Arrived(request(id++)), 1);
    }
    double best = Double.MAX_VALUE;
    for (int repeat = 0; repeat < REPEATS * 20; repeat++) {
      long start = System.nanoTime();
      core.handle(new RoutingEvent.Tick(), 2);
      best = Math.min(best, (System.nanoTime() - start) / NANOS_PER_MICRO);
    }
    return best;
  }

  private static BackendReport backendReport(String name, int used) {
    return new BackendReport(
        name, "a", Set.of("story"), 2_000, used, used / 50, 0, 64, 0, Long.MIN_VALUE / 2);
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

  // ---- soft state -------------------------------------------------------------------------------

  private void measureAnnouncements() {
    List<LineFit.Point> micros = new ArrayList<>();
    List<LineFit.Point> bytes = new ArrayList<>();
    for (int servers : BACKEND_COUNTS) {
      micros.add(new LineFit.Point(servers, announcementsMicros(servers)));
      long size = 0;
      for (int i = 0; i < servers; i++) {
        size += Json.write(announcement(i, 1)).size() + ENVELOPE_OVERHEAD_BYTES;
      }
      bytes.add(new LineFit.Point(servers, size));
    }
    reportFit("announcements written and read", "us", micros);
    reportFit("announcements on the wire", "bytes", bytes);
  }

  private static double announcementsMicros(int servers) {
    double best = Double.MAX_VALUE;
    for (int repeat = 0; repeat < REPEATS * 4; repeat++) {
      BackendView view = new BackendView();
      long start = System.nanoTime();
      for (int i = 0; i < servers; i++) {
        ByteString json = Json.write(announcement(i, repeat));
        view.announced(Json.read(json, BackendAnnouncement.class), 5, 0);
      }
      best = Math.min(best, (System.nanoTime() - start) / NANOS_PER_MICRO);
    }
    return best;
  }

  private static BackendAnnouncement announcement(int place, long sequence) {
    return new BackendAnnouncement(
        "engine-" + place,
        1_764_800_000_000L,
        sequence,
        "10.0.0.1:9000",
        "dc-" + place % 9,
        List.of("model-" + place % 40),
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
    TreeMap<String, Workspace> map = new TreeMap<>();
    for (int i = 0; i < workspaces; i++) {
      String name = "workspace-" + i;
      map.put(name, new Workspace(name, Hashes.sha256Hex(name), "draft", 10));
    }
    return new Configuration(1, new TreeMap<>(), map, new TreeMap<>(), new TreeMap<>());
  }

  private void measureConfiguration() {
    List<LineFit.Point> bytes = new ArrayList<>();
    List<LineFit.Point> micros = new ArrayList<>();
    for (int workspaces : WORKSPACE_COUNTS) {
      ByteString json = Json.write(configurationOf(workspaces));
      bytes.add(new LineFit.Point(workspaces, json.size()));
      double best = Double.MAX_VALUE;
      for (int repeat = 0; repeat < REPEATS * 4; repeat++) {
        long start = System.nanoTime();
        Json.read(json, Configuration.class);
        best = Math.min(best, (System.nanoTime() - start) / NANOS_PER_MICRO);
      }
      micros.add(new LineFit.Point(workspaces, best));
    }
    reportFit("configuration, by workspaces", "bytes", bytes);
    reportFit("configuration read", "us", micros);
  }

  // ---- ledger -----------------------------------------------------------------------------------

  private void measureLedger() {
    List<LineFit.Point> heap = new ArrayList<>();
    List<LineFit.Point> micros = new ArrayList<>();
    for (int records : RECORD_COUNTS) {
      LedgerState ledger = new LedgerState();
      long before = usedHeapBytes();
      micros.add(new LineFit.Point(records, claimsMicros(ledger, records)));
      heap.add(new LineFit.Point(records, usedHeapBytes() - before));
      if (ledger.size() != records) {
        throw new IllegalStateException("the ledger did not keep every claim");
      }
    }
    reportFit("claims applied, in all", "us", micros);
    reportFit("claims on the heap, no answers", "bytes", heap);
  }

  private static double claimsMicros(LedgerState ledger, int records) {
    long start = System.nanoTime();
    for (int i = 0; i < records; i++) {
      ledger.apply(claim(i));
    }
    return (System.nanoTime() - start) / NANOS_PER_MICRO;
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

  // ---- push -------------------------------------------------------------------------------------

  private void measurePush() throws IOException, InterruptedException {
    List<LineFit.Point> millis = new ArrayList<>();
    for (int receivers : RECEIVER_COUNTS) {
      millis.add(new LineFit.Point(receivers, pushMillis(receivers)));
    }
    reportFit("one change read by all", "ms", millis);
  }

  private record Change(List<Edit> edits) {}

  private static Change changeOf(int workspaces) {
    List<Edit> edits = new ArrayList<>();
    configurationOf(workspaces)
        .workspaces()
        .values()
        .forEach(w -> edits.add(new Edit.PutWorkspace(w)));
    return new Change(edits);
  }

  /** Returns the time until every receiver has applied a change to 4,000 workspaces and said so. */
  private static double pushMillis(int receivers) throws IOException, InterruptedException {
    ConfigurationDelta delta =
        ConfigurationDelta.newBuilder().setRevision(2).setEdits(Json.write(changeOf(1))).build();
    Configuration base = configurationOf(4_000);
    List<String> addresses = LocalFleet.freeAddresses(receivers + 1);
    CountDownLatch[] acknowledged = {new CountDownLatch(receivers)};
    List<Thread> threads = new ArrayList<>();
    PeerNetwork sender =
        createNetwork(
            "sender",
            addresses.getFirst(),
            List.of(),
            (network, from, message) -> {
              if (message.hasFreshnessRequest()) {
                acknowledged[0].countDown();
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
          () -> sender.connected().size() == receivers);
      double best = Double.MAX_VALUE;
      for (int repeat = 0; repeat < REPEATS; repeat++) {
        acknowledged[0] = new CountDownLatch(receivers);
        long start = System.nanoTime();
        for (HostRecord host : sender.connected()) {
          sender.send(
              host.getName(),
              Envelope.newBuilder()
                  .setFreshnessGrant(FreshnessGrant.newBuilder().addDeltas(delta)));
        }
        if (!acknowledged[0].await(PUSH_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
          throw new IOException("not every receiver has answered");
        }
        best = Math.min(best, (System.nanoTime() - start) / 1e6);
      }
      return best;
    } finally {
      threads.forEach(Thread::interrupt);
    }
  }

  private interface MessageHandler {
    void received(PeerNetwork network, HostRecord from, Envelope message);
  }

  private static PeerNetwork createNetwork(
      String name, String address, List<String> contacts, MessageHandler receiver) {
    PeerNetwork[] network = new PeerNetwork[1];
    PeerListener listener =
        new PeerListener() {
          @Override
          public void received(HostRecord from, Envelope message) {
            receiver.received(network[0], from, message);
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
