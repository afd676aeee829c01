import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two runners of a service have different software versions. Half of the channels of streams are reset
 * after a few events, so that the streams have to go on. Another writer sends pings about both
 * runners in which fields are missing.
 */
final class ForeignPings {
  private static final int STREAMS = 80;
  private static final int EVENTS = 60;
  private static final int EVENTS_BEFORE_RESET = 30;

  public static void main(String[] arguments) throws Exception {
    Lab lab = new Lab(arguments[0], 3, 1);
    lab.startGateway(1);
    lab.control("PUT", "/api/config", Manifest.text(1), 30_000);
    Map<String, AtomicInteger> attempts = new ConcurrentHashMap<>();
    List<Runner> runners = new ArrayList<>();
    for (int i = 1; i <= 2; i++) {
      String id = "i-" + i;
      String version = "v" + i;
      runners.add(
          new Runner(
              lab, id, "llm", version, 24,
              (request, channel) -> stream(lab, id, version, attempts, request, channel)));
    }
    for (Runner runner : runners) {
      runner.register();
    }
    lab.awaitReady(1);
    if (Lab.trouble()) {
      otherWriter(lab, runners);
    }
    Thread.sleep(3_000);
    AtomicInteger mixed = new AtomicInteger();
    AtomicInteger complete = new AtomicInteger();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      String id = String.format("e%015x", i);
      threads.add(Runner.thread(() -> requester(lab, id, mixed, complete)));
      Thread.sleep(50);
    }
    for (Thread thread : threads) {
      thread.join(30_000);
    }
    lab.record("%d streams, %d complete, %d with events of two versions", STREAMS, complete.get(), mixed.get());
    for (Runner runner : runners) {
      if (runner.begun.get() == 0) {
        lab.verdict(2, "runner " + runner.id + " ran nothing");
      }
    }
    lab.verdict(mixed.get() > 2 ? 1 : 0, mixed + " streams hold events of two software versions");
  }

  /** Sends pings about the runners in which version, coldLeftMs, stage, models and born are missing. */
  private static void otherWriter(Lab lab, List<Runner> runners) {
    for (Runner runner : runners) {
      Runner.thread(
          () -> {
            for (int seq = 1; ; seq++) {
              String body =
                  "{\"service\":\"" + runner.service + "\",\"address\":\"" + runner.address()
                      + "\",\"zone\":\"here\",\"slots\":" + runner.slots
                      + ",\"state\":\"ready\",\"seq\":" + seq + "}";
              int status = lab.controlOnce(1 + seq % 3, "PUT", "/api/runners/" + runner.id, body);
              if (seq <= 2) {
                lab.record("other writer: ping %s about %s: status %d", body, runner.id, status);
              }
              try {
                Thread.sleep(Lab.HEARTBEAT_MILLIS);
              } catch (InterruptedException e) {
                return;
              }
            }
          });
    }
  }

  private static void stream(
      Lab lab, String id, String version, Map<String, AtomicInteger> attempts, Lab.Http request, Socket channel)
      throws Exception {
    String attemptId = request.header("Attempt-Id");
    int number = attempts.computeIfAbsent(attemptId, key -> new AtomicInteger()).incrementAndGet();
    String after = request.header("Last-Event-Id");
    int next = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
    lab.record("runner %s runs %s from event %d", id, attemptId, next);
    Lab.write(
        channel.getOutputStream(),
        "HTTP/1.1 200 OK\r\nAttempt-Id: " + attemptId + "\r\nResponse-Seal: s" + version
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int event = next; event <= EVENTS; event++) {
      if (number == 1 && isReset(attemptId) && event == next + EVENTS_BEFORE_RESET) {
        channel.setSoLinger(true, 0);
        channel.close();
        return;
      }
      String text = "id: " + event + "\ndata: " + version + " " + event + "\n\n";
      Lab.write(
          channel.getOutputStream(),
          Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
      Thread.sleep(30);
    }
    Lab.write(channel.getOutputStream(), "0\r\n\r\n");
  }

  /** Half of the channels are reset, as reset_conns has it. */
  private static boolean isReset(String attemptId) {
    return Integer.parseInt(attemptId.substring(14), 16) % 2 == 0;
  }

  private static void requester(Lab lab, String id, AtomicInteger mixed, AtomicInteger complete) {
    StringBuilder text = new StringBuilder();
    String outcome;
    try (Socket socket = new Socket()) {
      socket.connect(lab.callerAddress(1), 1_000);
      socket.setSoTimeout(10_000);
      String head =
          Manifest.head("POST", "/notes/" + id, id, 20_000, 0)
              + "Model: m\r\nToken-Count: 300,120\r\nPrompt-Prefix: " + id.substring(12) + "a:200,"
              + id.substring(12) + "b:100\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      Lab.Http answer =
          Lab.Http.read(
              socket.getInputStream(),
              false,
              bytes -> text.append(new String(bytes, StandardCharsets.UTF_8)));
      outcome = "status " + answer.status + ", complete " + answer.complete;
      if (answer.status == 200 && answer.complete) {
        complete.incrementAndGet();
      }
    } catch (IOException e) {
      outcome = e.getMessage();
    }
    Set<String> versions = new TreeSet<>();
    StringBuilder order = new StringBuilder();
    for (String line : text.toString().split("\n")) {
      if (line.startsWith("data: ")) {
        versions.add(line.split(" ")[1]);
        order.append(line.substring(6).replace(" ", ":")).append(' ');
      }
    }
    lab.record("stream %s: %s, versions %s, events %s", id, outcome, versions, order);
    if (versions.size() > 1) {
      mixed.incrementAndGet();
    }
  }
}
