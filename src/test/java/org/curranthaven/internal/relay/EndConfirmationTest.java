package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.lang.ref.WeakReference;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.platform.PlatformProtocol;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against the end of a response that is confirmed by something that its backend server said
 * before, or that another process said.
 */
@Timeout(60)
class EndConfirmationTest {
  private static final ServiceSpec PLAIN = new ServiceSpec("plain", 100, null, null, "/health");
  private static final ServiceSpec ENGINES =
      new ServiceSpec("engines", 100, new EngineCapabilities(8, 20_000, 4, true, true));
  private static final int ACCEPT_TIMEOUT_MILLIS = 20_000;
  private static final long REPEAT_MILLIS = 250;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Clock clock = Clock.system();
  private final PlatformProtocol protocol = new PlatformProtocol();
  private final List<String> crashes = new CopyOnWriteArrayList<>();
  private final BackendPool pool = new BackendPool(group.next(), clock, protocol);
  private final EndConfirmation confirmation = confirmation(20_000);
  private ServerSocket server;

  /** Returns a placer that records the crashes reported and does nothing else. */
  private static RequestPlacer recordingPlacer(List<String> crashes) {
    return (RequestPlacer)
        Proxy.newProxyInstance(
            EndConfirmationTest.class.getClassLoader(),
            new Class<?>[] {RequestPlacer.class},
            (proxy, method, arguments) -> {
              if (method.getName().equals("reportCrash")) {
                crashes.add((String) arguments[0]);
              }
              return null;
            });
  }

  private EndConfirmation confirmation(long maxWaitMillis) {
    CrashProbe crashProbe = new CrashProbe(pool, recordingPlacer(crashes));
    return new EndConfirmation(group.next(), protocol, pool, crashProbe, maxWaitMillis);
  }

  EndConfirmationTest() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  }

  @BeforeEach
  void boundWaits() throws IOException {
    server.setSoTimeout(ACCEPT_TIMEOUT_MILLIS);
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private BackendRecord backend() {
    return BackendRecord.newBuilder()
        .setId("i-1@1000")
        .setInstance("i-1")
        .setIncarnation(1000)
        .setAddress("127.0.0.1:" + server.getLocalPort())
        .build();
  }

  private CompletableFuture<EndEvidence> confirm(ServiceSpec service) {
    return confirm(confirmation, service);
  }

  private CompletableFuture<EndEvidence> confirm(EndConfirmation confirmedBy, ServiceSpec service) {
    CompletableFuture<EndEvidence> evidence = new CompletableFuture<>();
    BackendRecord backend = backend();
    group.next().execute(() -> confirmedBy.confirm(backend, service, evidence::complete));
    return evidence;
  }

  private static EndEvidence get(CompletableFuture<EndEvidence> evidence) throws Exception {
    return evidence.get(20, TimeUnit.SECONDS);
  }

  /** Accepts the connection of a probe and reads its request; null if it is closed without one. */
  private static @Nullable String readProbe(Socket connection) throws IOException {
    connection.setSoTimeout(ACCEPT_TIMEOUT_MILLIS);
    BufferedReader in =
        new BufferedReader(
            new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
    String requestLine = in.readLine();
    String line = requestLine;
    while (line != null && !line.isEmpty()) {
      line = in.readLine();
    }
    return requestLine;
  }

  private static void answer(Socket connection, String headers, String body) throws IOException {
    String text =
        "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  @Test
  void a_server_that_answers_after_the_end_has_ended_the_response() throws Exception {
    CompletableFuture<EndEvidence> evidence = confirm(PLAIN);
    try (Socket probe = server.accept()) {
      assertThat(readProbe(probe)).isEqualTo("GET /health HTTP/1.1");
      answer(probe, "Runner-Id: i-1\r\n", "");

      assertThat(get(evidence)).isEqualTo(EndEvidence.SERVER_RUNS);
    }
    assertThat(crashes).isEmpty();
  }

  @Test
  void an_answer_to_an_earlier_probe_does_not_confirm_a_later_end() throws Exception {
    CompletableFuture<EndEvidence> first = confirm(PLAIN);
    try (Socket firstProbe = server.accept()) {
      assertThat(readProbe(firstProbe)).isNotNull();
      CompletableFuture<EndEvidence> second = confirm(PLAIN);
      group.next().submit(() -> {}).get(20, TimeUnit.SECONDS);
      answer(firstProbe, "", "");

      assertThat(get(first)).isEqualTo(EndEvidence.SERVER_RUNS);
      try (Socket secondProbe = server.accept()) {
        assertThat(readProbe(secondProbe)).isNotNull();
        assertThat(second).isNotDone();
        answer(secondProbe, "", "");
        assertThat(get(second)).isEqualTo(EndEvidence.SERVER_RUNS);
      }
    }
  }

  @Test
  void ends_that_were_seen_before_a_probe_is_sent_share_it() throws Exception {
    BackendRecord backend = backend();
    CompletableFuture<EndEvidence> first = new CompletableFuture<>();
    CompletableFuture<EndEvidence> second = new CompletableFuture<>();
    group
        .next()
        .execute(
            () -> {
              confirmation.confirm(backend, PLAIN, first::complete);
              confirmation.confirm(backend, PLAIN, second::complete);
            });
    try (Socket probe = server.accept()) {
      assertThat(readProbe(probe)).isNotNull();
      answer(probe, "", "");

      assertThat(get(first)).isEqualTo(EndEvidence.SERVER_RUNS);
      assertThat(get(second)).isEqualTo(EndEvidence.SERVER_RUNS);
    }
    assertThat(confirmation.probesSent()).isEqualTo(1);
  }

  @Test
  void the_response_to_a_later_request_confirms_an_end_and_one_to_an_earlier_request_does_not()
      throws Exception {
    long beforeMillis = clock.nowMillis();
    CompletableFuture<EndEvidence> evidence = confirm(PLAIN);
    try (Socket probe = server.accept()) {
      assertThat(readProbe(probe)).isNotNull();
      String id = backend().getId();
      group
          .next()
          .submit(() -> confirmation.recordResponse(id, beforeMillis))
          .get(20, TimeUnit.SECONDS);
      assertThat(evidence).isNotDone();

      long afterMillis = clock.nowMillis() + 1;
      group.next().execute(() -> confirmation.recordResponse(id, afterMillis));
      assertThat(get(evidence)).isEqualTo(EndEvidence.SERVER_RUNS);
    }
  }

  @Test
  void a_server_that_refuses_connections_after_it_dropped_the_probe_has_crashed() throws Exception {
    CompletableFuture<EndEvidence> evidence = confirm(PLAIN);
    try (Socket probe = server.accept()) {
      assertThat(readProbe(probe)).isNotNull();
      server.close();
    }
    assertThat(get(evidence)).isEqualTo(EndEvidence.SERVER_CRASHED);
    assertThat(crashes).containsExactly("i-1@1000");
  }

  @Test
  void a_connection_that_the_kernel_accepts_for_a_process_that_answers_nothing_is_no_evidence()
      throws Exception {
    EndConfirmation impatient = confirmation(EndConfirmation.MAX_WAIT_MILLIS);
    assertThat(get(confirm(impatient, PLAIN))).isEqualTo(EndEvidence.NONE);
    assertThat(crashes).isEmpty();
  }

  @Test
  void a_lost_probe_is_repeated_in_time() throws Exception {
    CompletableFuture<EndEvidence> evidence = confirm(PLAIN);
    try (Socket lost = server.accept();
        Socket repeated = server.accept()) {
      assertThat(readProbe(lost)).isNotNull();
      assertThat(readProbe(repeated)).isNotNull();
      answer(repeated, "", "");

      assertThat(get(evidence)).isEqualTo(EndEvidence.SERVER_RUNS);
    }
  }

  @Test
  void an_end_does_not_wait_for_a_probe_that_was_lost_before() throws Exception {
    CompletableFuture<EndEvidence> first = confirm(PLAIN);
    try (Socket lost = server.accept();
        Socket repeated = server.accept()) {
      assertThat(readProbe(lost)).isNotNull();
      assertThat(readProbe(repeated)).isNotNull();
      CompletableFuture<EndEvidence> second = confirm(PLAIN);
      group.next().submit(() -> {}).get(20, TimeUnit.SECONDS);
      answer(repeated, "", "");
      assertThat(get(first)).isEqualTo(EndEvidence.SERVER_RUNS);

      try (Socket next = server.accept()) {
        assertThat(readProbe(next)).isNotNull();
        answer(next, "", "");
        assertThat(second.get(10, TimeUnit.SECONDS)).isEqualTo(EndEvidence.SERVER_RUNS);
      }
    }
  }

  @Test
  void another_start_of_an_engine_does_not_confirm_the_end_of_a_response() throws Exception {
    EndConfirmation impatient = confirmation(EndConfirmation.MAX_WAIT_MILLIS);
    CompletableFuture<EndEvidence> evidence = confirm(impatient, ENGINES);
    while (!evidence.isDone()) {
      server.setSoTimeout((int) EndConfirmation.MAX_WAIT_MILLIS);
      try (Socket probe = server.accept()) {
        if (readProbe(probe) != null) {
          answer(probe, "", "{\"born\":2000}");
        }
      } catch (IOException e) {
        // No probe follows.
      }
    }
    assertThat(get(evidence)).isEqualTo(EndEvidence.NONE);
  }

  @Test
  void the_same_start_of_an_engine_confirms_the_end_of_a_response() throws Exception {
    CompletableFuture<EndEvidence> evidence = confirm(ENGINES);
    try (Socket probe = server.accept()) {
      assertThat(readProbe(probe)).isEqualTo("GET /api/report HTTP/1.1");
      answer(probe, "", "{\"born\":1000}");

      assertThat(get(evidence)).isEqualTo(EndEvidence.SERVER_RUNS);
    }
  }

  @Test
  void an_address_where_nothing_listens_is_a_crash() throws Exception {
    server.close();
    server = new ServerSocket();
    try (Socket bound = new Socket()) {
      // Bound and not listening: nobody else can take the port, and connections are refused.
      bound.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      BackendRecord backend =
          backend().toBuilder().setAddress("127.0.0.1:" + bound.getLocalPort()).build();
      CompletableFuture<EndEvidence> evidence = new CompletableFuture<>();
      group.next().execute(() -> confirmation.confirm(backend, PLAIN, evidence::complete));

      assertThat(get(evidence)).isEqualTo(EndEvidence.SERVER_CRASHED);
    }
    assertThat(crashes).containsExactly("i-1@1000");
  }

  // Guards against two lost probes that keep all others from being sent.
  @Test
  void a_third_probe_follows_two_that_were_lost() throws Exception {
    CompletableFuture<EndEvidence> evidence = confirm(confirmation(8_000), PLAIN);
    try (Socket lost = server.accept();
        Socket repeated = server.accept();
        Socket third = server.accept()) {
      assertThat(readProbe(lost)).isNotNull();
      assertThat(readProbe(repeated)).isNotNull();
      assertThat(readProbe(third)).isNotNull();
      answer(third, "", "");

      assertThat(get(evidence)).isEqualTo(EndEvidence.SERVER_RUNS);
    }
  }

  // Guards against probes that multiply while nothing answers them.
  @Test
  void a_server_that_accepts_connections_and_stays_silent_has_two_probes_open_at_most()
      throws Exception {
    List<Socket> accepted = acceptAll(connection -> {});
    EndConfirmation flooded = confirmation(EndConfirmation.MAX_WAIT_MILLIS);

    long elapsedMillis = addEnds(flooded, 4_000);

    List<Socket> held = List.copyOf(accepted);
    int open = 0;
    for (Socket connection : held) {
      open += isOpen(connection) ? 1 : 0;
    }
    for (Socket connection : accepted) {
      connection.close();
    }
    assertThat(open).isLessThanOrEqualTo(2);
    assertThat(probesSent(flooded)).isBetween(2L, 1 + elapsedMillis / REPEAT_MILLIS);
    assertThat(crashes).isEmpty();
  }

  // Guards against one series of probes for each end.
  @Test
  void a_server_that_closes_every_connection_gets_one_series_of_probes() throws Exception {
    acceptAll(
        connection -> {
          connection.setSoLinger(true, 0);
          connection.close();
        });
    EndConfirmation flooded = confirmation(EndConfirmation.MAX_WAIT_MILLIS);

    long elapsedMillis = addEnds(flooded, 3_000);

    // The delays double from 5 ms, so that six probes precede those of the full delay.
    assertThat(connectionsOpened()).isBetween(2L, 7 + elapsedMillis / REPEAT_MILLIS);
    assertThat(crashes).isEmpty();
  }

  // Guards against timers that keep a request in memory until the longest wait is over.
  @Test
  void a_confirmed_end_is_not_kept_until_its_time_is_over() throws Exception {
    CompletableFuture<EndEvidence> evidence = new CompletableFuture<>();
    WeakReference<Object> request = confirmForNewRequest(evidence);
    try (Socket probe = server.accept()) {
      assertThat(readProbe(probe)).isNotNull();
      answer(probe, "", "");
      assertThat(get(evidence)).isEqualTo(EndEvidence.SERVER_RUNS);
    }
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (request.get() != null && System.nanoTime() < deadlineNanos) {
      System.gc();
      Thread.sleep(50);
    }
    assertThat(request.get()).isNull();
  }

  private WeakReference<Object> confirmForNewRequest(CompletableFuture<EndEvidence> evidence) {
    Object request = new Object();
    EndConfirmation patient = confirmation(120_000);
    BackendRecord backend = backend();
    Consumer<EndEvidence> action =
        seen -> {
          assertThat(request).isNotNull();
          evidence.complete(seen);
        };
    group.next().execute(() -> patient.confirm(backend, PLAIN, action));
    return new WeakReference<>(request);
  }

  private interface ConnectionAction {
    void accept(Socket connection) throws IOException;
  }

  /** Accepts connections until the server is closed, and returns those accepted so far. */
  private List<Socket> acceptAll(ConnectionAction action) {
    List<Socket> accepted = new CopyOnWriteArrayList<>();
    Thread.ofPlatform()
        .daemon(true)
        .start(
            () -> {
              try {
                while (true) {
                  Socket connection = server.accept();
                  action.accept(connection);
                  accepted.add(connection);
                }
              } catch (IOException e) {
                // The test is over.
              }
            });
    return accepted;
  }

  /** Adds ten ends a second for the given time, and returns the time that this took. */
  private long addEnds(EndConfirmation confirmedBy, long durationMillis)
      throws InterruptedException {
    long startMillis = clock.nowMillis();
    while (clock.nowMillis() - startMillis < durationMillis) {
      confirm(confirmedBy, PLAIN);
      Thread.sleep(100);
    }
    return clock.nowMillis() - startMillis;
  }

  private long probesSent(EndConfirmation confirmedBy) throws Exception {
    return group.next().submit(confirmedBy::probesSent).get(20, TimeUnit.SECONDS);
  }

  private long connectionsOpened() throws Exception {
    return group.next().submit(pool::connectionsOpened).get(20, TimeUnit.SECONDS);
  }

  private static boolean isOpen(Socket connection) throws IOException {
    // A timeout of 1 ms can expire although the connection was closed long before.
    connection.setSoTimeout(50);
    try {
      while (connection.getInputStream().read() >= 0) {
        // Skips the request.
      }
      return false;
    } catch (SocketTimeoutException e) {
      return true;
    } catch (SocketException e) {
      return false;
    }
  }
}
