package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tinylog.Logger;

/**
 * Guards against a response without length or chunks that reaches its caller as complete though its
 * server was killed: the kernel closes the connections of a killed process in order, and accepts
 * new ones until it has closed the listening socket. The system properties {@code crashes} and
 * {@code streams} make the load longer.
 */
@Timeout(3_600)
class KilledServerTest extends RoutedFleetFixture {
  private static final int CRASHES = Integer.getInteger("crashes", 2);
  private static final int SOUND_STREAMS = Integer.getInteger("streams", 300);
  private static final int LONG_STREAMS = 24;
  private static final int SHORT_STREAM_CALLERS = 12;
  private static final int BODY_CALLERS = 6;
  private static final int SOUND_CALLERS = 8;
  private static final int RESPONSES_BEFORE_KILL = 30;
  private static final int MAX_POLLS = 500;
  private static final long POLL_MILLIS = 20;
  private static final int READ_TIMEOUT_MILLIS = 20_000;
  private static final long JOIN_TIMEOUT_MILLIS = 900_000;
  private static final String LAST_CHUNK = "0\r\n\r\n";

  private final AtomicInteger whole = new AtomicInteger();
  private final AtomicInteger brokenOff = new AtomicInteger();
  private final ConcurrentLinkedQueue<String> truncated = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<Long> waitNanos = new ConcurrentLinkedQueue<>();
  private final AtomicInteger nextId = new AtomicInteger();
  private volatile boolean ended;

  private void register(int life, int port) throws Exception {
    String body =
        """
        {"service":"plain","address":"127.0.0.1:%d","zone":"here","version":"v1","slots":64,
         "state":"ready","coldLeftMs":0,"seq":1,"born":%d}
        """
            .formatted(port, System.currentTimeMillis());
    while (sendControlRequest("PUT", "/api/runners/life-" + life, body).statusCode() != 200) {
      Thread.sleep(50);
    }
  }

  /** Sends a request whose response has a number of pieces, and records how it ended. */
  private void call(String kind, int pieces, int pauseMillis) {
    String id = "r-" + nextId.incrementAndGet();
    String path = "/%s/%d/%d/".formatted(kind, pieces, pauseMillis);
    try (Socket socket = openRawRequest(callerAddress, id, path, "")) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      socket.setTcpNoDelay(true);
      StringBuilder text = new StringBuilder();
      byte[] buffer = new byte[16_384];
      long lastPieceNanos = 0;
      for (int count = socket.getInputStream().read(buffer);
          count >= 0;
          count = socket.getInputStream().read(buffer)) {
        String part = new String(buffer, 0, count, StandardCharsets.US_ASCII);
        text.append(part);
        if (part.contains("data: ")) {
          lastPieceNanos = System.nanoTime();
        }
      }
      record(id, path, text.toString(), pieces, System.nanoTime() - lastPieceNanos);
    } catch (Exception e) {
      brokenOff.incrementAndGet();
    }
  }

  private void record(String id, String path, String response, int pieces, long sinceLastNanos) {
    boolean success = response.startsWith("HTTP/1.1 200");
    int received = response.split("data: ", -1).length - 1;
    boolean framed = path.startsWith("/holds/") || response.endsWith(LAST_CHUNK);
    if (!success || !framed) {
      brokenOff.incrementAndGet();
    } else if (received == pieces) {
      whole.incrementAndGet();
      waitNanos.add(sinceLastNanos);
    } else {
      truncated.add(id + " " + path + " after " + received + " pieces");
    }
  }

  private static void joinAll(List<Thread> threads) throws InterruptedException {
    for (Thread thread : threads) {
      thread.join(JOIN_TIMEOUT_MILLIS);
      assertThat(thread.isAlive()).isFalse();
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {580, 0})
  void no_response_is_complete_that_the_kill_of_its_server_cut_off(int otherConnections)
      throws Exception {
    int crashes = otherConnections > 0 ? CRASHES : Math.max(1, CRASHES / 4);
    for (int life = 1; life <= crashes; life++) {
      killServer(life, otherConnections);
    }
    Logger.info(
        "{} crashes beside {} other connections: {} responses whole, {} broken off, {} truncated",
        crashes,
        otherConnections,
        whole.get(),
        brokenOff.get(),
        truncated.size());
    assertThat(truncated).isEmpty();
    assertThat(whole).hasPositiveValue();
    assertThat(brokenOff).hasPositiveValue();
  }

  private void killServer(int life, int otherConnections) throws Exception {
    List<Socket> idle = new ArrayList<>();
    try (UnframedServerProcess server = new UnframedServerProcess()) {
      register(life, server.port());
      ended = false;
      List<Thread> callers = new ArrayList<>();
      for (int i = 0; i < LONG_STREAMS; i++) {
        callers.add(Thread.ofVirtual().start(() -> call("drafts", 60, 20)));
      }
      for (int i = 0; i < otherConnections; i++) {
        idle.add(new Socket(InetAddress.getLoopbackAddress(), server.port()));
      }
      for (int i = 0; i < SHORT_STREAM_CALLERS; i++) {
        callers.add(Thread.ofVirtual().start(() -> callUntilEnded("drafts")));
      }
      for (int i = 0; i < BODY_CALLERS; i++) {
        callers.add(Thread.ofVirtual().start(() -> callUntilEnded("holds")));
      }
      awaitWholeResponses(whole.get() + RESPONSES_BEFORE_KILL);
      server.kill();
      ended = true;
      joinAll(callers);
    } finally {
      for (Socket socket : idle) {
        socket.close();
      }
    }
    sendControlRequest("DELETE", "/api/runners/life-" + life, "");
  }

  private void awaitWholeResponses(int count) throws InterruptedException {
    for (int i = 0; i < MAX_POLLS && whole.get() < count; i++) {
      Thread.sleep(POLL_MILLIS);
    }
  }

  private void callUntilEnded(String kind) {
    while (!ended) {
      call(kind, 2, 2);
    }
  }

  @Test
  void sound_responses_are_complete_and_share_probes() throws Exception {
    try (FakeBackend backend = new FakeBackend(KilledServerTest::respond)) {
      register("i-1", backend, "ready", 1);
      AtomicInteger left = new AtomicInteger(SOUND_STREAMS);
      List<Thread> callers = new ArrayList<>();
      long startedNanos = System.nanoTime();
      for (int i = 0; i < SOUND_CALLERS; i++) {
        callers.add(
            Thread.ofVirtual()
                .start(
                    () -> {
                      while (left.decrementAndGet() >= 0) {
                        call("drafts", 2, 2);
                      }
                    }));
      }
      joinAll(callers);
      long[] sorted = waitNanos.stream().mapToLong(Long::longValue).sorted().toArray();
      Logger.info(
          "{} sound streams: {} whole, {} broken off, {} truncated, wait after the last event"
              + " median {} us, p99 {} us, {} probes, in {} ms",
          SOUND_STREAMS,
          whole.get(),
          brokenOff.get(),
          truncated.size(),
          Arrays.stream(sorted).skip(sorted.length / 2).findFirst().orElse(0) / 1_000,
          Arrays.stream(sorted).skip(sorted.length * 99L / 100).findFirst().orElse(0) / 1_000,
          backend.livenessRequests(),
          (System.nanoTime() - startedNanos) / 1_000_000);

      assertThat(brokenOff).hasValue(0);
      assertThat(truncated).isEmpty();
      assertThat(whole).hasValue(SOUND_STREAMS);
      assertThat(backend.livenessRequests()).isLessThanOrEqualTo(SOUND_STREAMS);
    }
  }

  private static void respond(FakeBackend.ReceivedRequest request, Socket connection)
      throws IOException {
    FakeBackend.write(
        connection,
        FakeBackend.unframedStreamResponseHead(request)
            + FakeBackend.plainEvent(1)
            + FakeBackend.plainEvent(2));
    connection.close();
  }
}
