package org.curranthaven.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A backend server that answers a part of its requests twice, the second time late: the same
 * answer, or one with another status, without id, without framing, or cut short. Thread-safe.
 */
final class StutteringBackend implements FakeBackend.ResponseScript {
  static final int EVENTS = 6;
  private static final int MAX_LATENESS_MILLIS = 2_000;
  private static final double SECOND_ANSWERS = 0.5;

  /** Bytes of a copy that is cut short; it holds the status. */
  private static final int MIN_CUT_BYTES = "HTTP/1.1 200 ".length();

  private final long seed;
  private final List<Answer> answers = new CopyOnWriteArrayList<>();

  /** What the backend server answered to a request, as it records it itself. */
  record Answer(String id, int status, boolean ran, String body) {}

  /** How an answer ends. */
  private enum Framing {
    LENGTH,
    CHUNKS,
    CONNECTION
  }

  StutteringBackend(long seed) {
    this.seed = seed;
  }

  List<Answer> answers() {
    return answers;
  }

  @Override
  public void respond(FakeBackend.ReceivedRequest request, Socket connection) throws Exception {
    String id = request.header("Attempt-Id");
    SplittableRandom random = new SplittableRandom(seed ^ id.hashCode() * 0x9E3779B97F4A7C15L);
    boolean stream = request.line().contains("/tags/") || request.line().contains("/drafts/");
    int draw = random.nextInt(10);
    int status = draw < 2 ? 503 : draw < 3 ? 500 : 200;
    Framing framing = Framing.values()[random.nextInt(Framing.values().length)];
    if (stream && status == 200) {
      respondWithEvents(request, id, framing, random, connection);
      return;
    }
    String body = status + " of " + id + ";" + "x".repeat(random.nextInt(200));
    answers.add(new Answer(id, status, status != 503, body));
    Thread.sleep(random.nextInt(30));
    String answer = head(id, status, framing, body) + framed(framing, body);
    write(connection, answer);
    boolean again = random.nextDouble() < SECOND_ANSWERS;
    if (again) {
      stutter(id, status, body, random, connection);
    }
    if (framing == Framing.CONNECTION) {
      Thread.sleep(again ? random.nextInt(40) : 0);
      connection.close();
    }
  }

  private void respondWithEvents(
      FakeBackend.ReceivedRequest request,
      String id,
      Framing framing,
      SplittableRandom random,
      Socket connection)
      throws Exception {
    boolean chunks = framing != Framing.CONNECTION;
    String lastEventId = request.header("Last-Event-Id");
    int next = lastEventId.isEmpty() ? 1 : Integer.parseInt(lastEventId) + 1;
    boolean breaksOff = lastEventId.isEmpty() && random.nextInt(3) == 0;
    answers.add(new Answer(id, 200, true, ""));
    write(
        connection,
        chunks
            ? FakeBackend.streamResponseHead(request)
            : FakeBackend.unframedStreamResponseHead(request));
    if (random.nextDouble() < SECOND_ANSWERS) {
      stutter(id, 200, "whole", random, connection);
    }
    for (int i = next; i <= EVENTS; i++) {
      if (breaksOff && i == EVENTS / 2) {
        write(connection, "id: ");
        connection.close();
        return;
      }
      write(connection, chunks ? FakeBackend.chunk(event(id, i)) : event(id, i));
      Thread.sleep(random.nextInt(20));
    }
    if (chunks) {
      write(connection, FakeBackend.chunk(""));
    } else {
      connection.close();
    }
  }

  static String event(String id, int number) {
    return "id: %d\ndata: %s/%d\n\n".formatted(number, id, number);
  }

  /** Writes a second answer some time later, between two writes of the same connection. */
  private static void stutter(
      String id, int status, String body, SplittableRandom random, Socket connection) {
    int otherStatus = status == 503 ? 200 : 503;
    Framing framing = random.nextInt(4) == 0 ? Framing.CONNECTION : Framing.LENGTH;
    int copyStatus = random.nextInt(2) == 0 ? status : otherStatus;
    String copy = head(id, copyStatus, framing, body) + framed(framing, body);
    if (random.nextInt(4) == 0) {
      copy = copy.replace("Attempt-Id: " + id + "\r\n", "");
    }
    if (random.nextInt(4) == 0) {
      copy = copy.substring(0, MIN_CUT_BYTES + random.nextInt(copy.length() - MIN_CUT_BYTES));
    }
    int bound = random.nextInt(3) == 0 ? MAX_LATENESS_MILLIS : 60;
    int latenessMillis = random.nextInt(bound);
    String text = copy;
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                Thread.sleep(latenessMillis);
                write(connection, text);
              } catch (IOException | InterruptedException e) {
                // The connection is closed.
              }
            });
  }

  private static String head(String id, int status, Framing framing, String body) {
    String kind = status == 503 ? "Not-Executed: 1\r\n" : "Response-Seal: s\r\n";
    String end =
        switch (framing) {
          case LENGTH -> "Content-Length: " + body.length() + "\r\n";
          case CHUNKS -> "Transfer-Encoding: chunked\r\n";
          case CONNECTION -> "";
        };
    return "HTTP/1.1 %d X\r\nContent-Type: text/plain; charset=utf-8\r\nServer: stand-in of the tests\r\nKeep-Alive: timeout=60\r\nAttempt-Id: %s\r\n%s%s\r\n"
        .formatted(status, id, kind, end);
  }

  private static String framed(Framing framing, String body) {
    return framing == Framing.CHUNKS ? FakeBackend.chunk(body) + FakeBackend.chunk("") : body;
  }

  private static void write(Socket connection, String text) throws IOException {
    synchronized (connection) {
      connection.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
      connection.getOutputStream().flush();
    }
  }
}
