package org.curranthaven.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A backend server that answers a quarter of its requests with 500 and sends copies of a part of
 * its answers, most of them cut off anywhere: late, or in one write with the next answer on the
 * same connection. Thread-safe.
 */
final class CopyingBackend implements FakeBackend.ResponseScript {
  private static final int MAX_LATENESS_MILLIS = 600;
  private static final int MAX_WORK_MILLIS = 30;
  private static final int MAX_BODY_BYTES = 800;
  private static final double FAILURES = 0.25;
  private static final double COPIES = 0.4;
  private static final double CUT_COPIES = 0.6;

  private final long seed;
  private final List<StutteringBackend.Answer> answers = new CopyOnWriteArrayList<>();

  /** Copies that are written together with the next answer on their connection. */
  private final Map<Socket, String> heldCopies = new ConcurrentHashMap<>();

  CopyingBackend(long seed) {
    this.seed = seed;
  }

  List<StutteringBackend.Answer> answers() {
    return answers;
  }

  @Override
  public void respond(FakeBackend.ReceivedRequest request, Socket connection) throws Exception {
    String id = request.header("Attempt-Id");
    SplittableRandom random = new SplittableRandom(seed ^ id.hashCode() * 0x9E3779B97F4A7C15L);
    boolean stream = request.line().contains("/tags/") || request.line().contains("/drafts/");
    int status = random.nextDouble() < FAILURES ? 500 : 200;
    int framing = random.nextInt(10);
    boolean chunks = framing == 0 || (stream && status == 200 && framing != 1);
    boolean endsWithConnection = !chunks && framing == 1;
    boolean events = stream && status == 200;
    String body = events ? remainingEvents(request, id) : plainBody(status, id, random);
    answers.add(new StutteringBackend.Answer(id, status, true, events ? "" : body));
    Thread.sleep(random.nextInt(MAX_WORK_MILLIS));
    String answer = answer(id, status, events, chunks, endsWithConnection, body);
    String held = heldCopies.remove(connection);
    write(connection, (held == null ? "" : held) + answer);
    if (endsWithConnection) {
      connection.close();
    } else if (random.nextDouble() < COPIES) {
      copy(answer, random, connection);
    }
  }

  private static String plainBody(int status, String id, SplittableRandom random) {
    return status + " of " + id + ";" + "x".repeat(random.nextInt(MAX_BODY_BYTES));
  }

  private static String remainingEvents(FakeBackend.ReceivedRequest request, String id) {
    String lastEventId = request.header("Last-Event-Id");
    int next = lastEventId.isEmpty() ? 1 : Integer.parseInt(lastEventId) + 1;
    StringBuilder events = new StringBuilder();
    for (int i = next; i <= StutteringBackend.EVENTS; i++) {
      events.append(StutteringBackend.event(id, i));
    }
    return events.toString();
  }

  private static String answer(
      String id,
      int status,
      boolean events,
      boolean chunks,
      boolean endsWithConnection,
      String body) {
    String length = "Content-Length: " + body.length() + "\r\n";
    String framing = chunks ? "Transfer-Encoding: chunked\r\n" : endsWithConnection ? "" : length;
    String type = events ? "text/event-stream" : "text/plain; charset=utf-8";
    String head =
        "HTTP/1.1 %d X\r\nContent-Type: %s\r\nKeep-Alive: timeout=60\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n%s\r\n"
            .formatted(status, type, id, framing);
    return head + (chunks ? FakeBackend.chunk(body) + FakeBackend.chunk("") : body);
  }

  private void copy(String answer, SplittableRandom random, Socket connection) {
    boolean cut = random.nextDouble() < CUT_COPIES;
    String copy = cut ? answer.substring(0, 1 + random.nextInt(answer.length() - 1)) : answer;
    if (random.nextBoolean()) {
      heldCopies.put(connection, copy);
      return;
    }
    int latenessMillis = random.nextInt(MAX_LATENESS_MILLIS);
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                Thread.sleep(latenessMillis);
                write(connection, copy);
              } catch (IOException | InterruptedException e) {
                // The connection is closed.
              }
            });
  }

  private static void write(Socket connection, String text) throws IOException {
    synchronized (connection) {
      connection.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
      connection.getOutputStream().flush();
    }
  }
}
