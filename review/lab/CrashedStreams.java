import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A runner crashes while it writes streams that have neither a length nor chunks. */
final class CrashedStreams {
  /** Crashes go on, one runner after the other, until this time has passed or the rule was broken. */
  private static final long DURATION_MILLIS = 85_000;

  /** Runners of the service that do not crash. */
  private static final int OTHER_RUNNERS = 5;

  /** Channels of other callers to the runner that crashes. */
  private static final int IDLE_CHANNELS = 580;

  private static final int LONG_STREAMS = 92;
  private static final int SHORT_REQUESTERS = 36;

  private final Lab lab;
  private final AtomicInteger whole = new AtomicInteger();
  private final AtomicInteger brokenOff = new AtomicInteger();
  private final AtomicInteger truncated = new AtomicInteger();
  private volatile boolean ended;

  private CrashedStreams(Lab lab) {
    this.lab = lab;
  }

  public static void main(String[] arguments) throws Exception {
    new CrashedStreams(new Lab(arguments[0], 3, 1)).play();
  }

  private void play() throws Exception {
    lab.startGateway(1);
    lab.control("PUT", "/api/config", Manifest.text(1), 30_000);
    lab.awaitReady(1);
    for (int i = 1; i <= OTHER_RUNNERS; i++) {
      start("o-" + i);
    }
    long endNanos = System.nanoTime() + DURATION_MILLIS * 1_000_000;
    int crashes = 0;
    while (System.nanoTime() < endNanos && truncated.get() == 0) {
      crashes++;
      life(crashes);
    }
    lab.record(Lab.trouble() ? "%d crashes" : "%d runners ended after their streams", crashes);
    lab.record("%d streams whole, %d broken off, %d framed as complete before their last event", whole.get(), brokenOff.get(), truncated.get());
    if (whole.get() < 20 || (Lab.trouble() && brokenOff.get() + truncated.get() == 0)) {
      lab.verdict(2, "too few streams");
    }
    lab.verdict(
        truncated.get() > 0 ? 1 : 0,
        crashes + (Lab.trouble() ? " crashes; " : " runners without a crash; ") + truncated + " streams ended as complete before their last event");
  }

  /** Starts a runner and registers it; returns its port. */
  private int start(String id) throws Exception {
    Process process =
        new ProcessBuilder(
                "target/runtime/bin/java",
                "-Xmx128m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                "target/review",
                "RunnerProcess",
                id)
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    lab.processes.put(id, process);
    BufferedReader output = new BufferedReader(new InputStreamReader(process.getInputStream()));
    int port = Integer.parseInt(output.readLine());
    long born = System.currentTimeMillis();
    lab.control("PUT", "/api/runners/" + id, ping(port, born, 1), 10_000);
    lab.record("runner %s, process %d, at port %d", id, process.pid(), port);
    Runner.thread(
        () -> {
          for (int seq = 2; process.isAlive(); seq++) {
            try {
              Thread.sleep(Lab.HEARTBEAT_MILLIS);
            } catch (InterruptedException e) {
              return;
            }
            if (process.isAlive()) {
              lab.controlOnce(1 + seq % 3, "PUT", "/api/runners/" + id, ping(port, born, seq));
            }
          }
        });
    return port;
  }

  private static String ping(int port, long born, int seq) {
    return "{\"service\":\"llm\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"here\",\"version\":\"v1\","
        + "\"slots\":24,\"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"colocated\",\"models\":[{\"name\":\"m\","
        + "\"version\":1,\"adapters\":[]}],\"seq\":" + seq + ",\"born\":" + born + "}";
  }

  /** One life of a runner, from its start to its crash. */
  private void life(int number) throws Exception {
    String id = "i-" + number;
    int port = start(id);
    Process process = lab.processes.get(id);
    Thread.sleep(300);
    ended = false;
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < LONG_STREAMS; i++) {
      String attempt = String.format("a%07x%08x", number, i);
      threads.add(Runner.thread(() -> stream(attempt, 30, 40)));
    }
    Thread.sleep(200);
    List<Socket> idle = new ArrayList<>();
    for (int i = 0; i < IDLE_CHANNELS; i++) {
      Socket channel = new Socket("127.0.0.1", port);
      idle.add(channel);
      Runner.thread(() -> {
        try {
          channel.getInputStream().read();
        } catch (IOException e) {
          // It was reset.
        }
      });
    }
    for (int i = 0; i < SHORT_REQUESTERS; i++) {
      int requester = i;
      threads.add(Runner.thread(() -> {
        for (int n = 0; !ended; n++) {
          stream(String.format("b%05x%04x%06x", number, requester, n), 2, 2);
        }
      }));
    }
    Thread.sleep(300);
    if (Lab.trouble()) {
      lab.record("kill runner %s, process %d", id, process.pid());
      process.destroyForcibly();
    }
    ended = true;
    for (Thread thread : threads) {
      thread.join(20_000);
    }
    for (Socket socket : idle) {
      socket.close();
    }
    if (!Lab.trouble()) {
      process.destroyForcibly();
    }
    process.waitFor();
  }

  private void stream(String id, int events, int gapMillis) {
    String path = "/drafts/" + events + "/" + gapMillis + "/" + id;
    StringBuilder text = new StringBuilder();
    try (Socket socket = new Socket()) {
      socket.connect(lab.callerAddress(1), 1_000);
      socket.setSoTimeout(15_000);
      String head = Manifest.head("POST", path, id, 39_000, 0) + "Model: m\r\nToken-Count: 60,240\r\nPrompt-Prefix: " + id.substring(0, 8) + ":50," + id.substring(9) + ":10\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      Lab.Http answer = Lab.Http.read(socket.getInputStream(), false, bytes -> text.append(new String(bytes, StandardCharsets.UTF_8)));
      int got = text.toString().split("data: ", -1).length - 1;
      if (answer.status != 200) {
        lab.record("%s: status %d", id, answer.status);
        Thread.sleep(50);
      } else if (!answer.complete) {
        brokenOff.incrementAndGet();
        lab.record("%s: broken off after %d of %d events", id, got, events);
      } else if (got < events) {
        truncated.incrementAndGet();
        lab.record("%s: COMPLETE after %d of %d events", id, got, events);
      } else {
        whole.incrementAndGet();
      }
    } catch (IOException e) {
      lab.record("%s: %s", id, e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
