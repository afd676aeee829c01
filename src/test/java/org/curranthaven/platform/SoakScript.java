package org.curranthaven.platform;

import java.io.IOException;
import java.util.Queue;
import java.util.SplittableRandom;

/**
 * Draws from a seed and the request's id how a server fails: it refuses, fails, resets, answers
 * before it has read the body, breaks off, or answers twice. Records each answer. Thread-safe.
 */
final class SoakScript {
  static final int EVENTS = 8;
  private static final double SECOND_ANSWERS = 0.4;
  private static final int MAX_BODY_BYTES = 900;
  private static final int SHORT_RUN_MILLIS = 40;
  private static final int LONG_RUN_MILLIS = 600;
  private static final int MAX_PAUSE_MILLIS = 60;

  /** Number of draws of which each failure has its part; the others succeed. */
  private static final int FAILING_DRAWS = 32;

  private final SoakServer.Identity server;
  private final long seed;
  private final double failureShare;
  private final Queue<Answer> answers;

  /**
   * What a server did with a request.
   *
   * @param status status that it sent; 0 if it did not send the whole response
   */
  record Answer(
      long atMillis,
      SoakServer.Identity server,
      String requestId,
      String path,
      boolean ran,
      int status,
      String body) {}

  /** What a server does with a request. */
  private enum Deed {
    SUCCEED,
    FAIL,
    REFUSE,
    BUSY_AFTER_RUN,
    RESET_AFTER_RUN,
    CUT
  }

  SoakScript(SoakServer.Identity server, long seed, double failureShare, Queue<Answer> answers) {
    this.server = server;
    this.seed = seed;
    this.failureShare = failureShare;
    this.answers = answers;
  }

  void respond(SoakConnection.Request request, SoakConnection connection)
      throws IOException, InterruptedException {
    if (request.path().equals("/health")) {
      connection.write(SoakResponses.healthy(server.id()));
      return;
    }
    SplittableRandom random =
        new SplittableRandom(seed ^ (request.id() + server.id()).hashCode() * 0x9E3779B97F4A7C15L);
    if (!request.header("Expect-Instance").equals(server.id())) {
      connection.skipBody(request);
      record(request, false, SoakResponses.MISDIRECTED, "");
      connection.write(SoakResponses.misdirected(request.id()));
      return;
    }
    if (random.nextInt(20) == 0) {
      connection.write(SoakResponses.earlyHints(request.id()));
    }
    Deed deed = drawDeed(random);
    boolean events =
        SoakRoutes.isStream(request.path()) && (deed == Deed.SUCCEED || deed == Deed.CUT);
    boolean early = !events && random.nextInt(4) == 0;
    if (!early) {
      connection.skipBody(request);
    }
    if (events) {
      respondWithEvents(request, deed, random, connection);
    } else {
      respondWithBody(request, deed, random, connection);
    }
    if (early) {
      Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
      connection.skipBody(request);
    }
  }

  private Deed drawDeed(SplittableRandom random) {
    int draw = (int) (random.nextDouble() * FAILING_DRAWS / failureShare);
    if (draw < 10) {
      return Deed.REFUSE;
    } else if (draw < 18) {
      return Deed.FAIL;
    } else if (draw < 21) {
      return Deed.BUSY_AFTER_RUN;
    } else if (draw < 27) {
      return Deed.RESET_AFTER_RUN;
    }
    return draw < FAILING_DRAWS ? Deed.CUT : Deed.SUCCEED;
  }

  private void respondWithBody(
      SoakConnection.Request request, Deed deed, SplittableRandom random, SoakConnection connection)
      throws IOException, InterruptedException {
    int status =
        switch (deed) {
          case REFUSE, BUSY_AFTER_RUN -> SoakResponses.UNAVAILABLE;
          case FAIL -> SoakResponses.FAILED;
          case SUCCEED, RESET_AFTER_RUN, CUT -> SoakResponses.OK;
        };
    boolean ran = deed != Deed.REFUSE;
    boolean whole = deed != Deed.RESET_AFTER_RUN && deed != Deed.CUT;
    String body =
        "%d of %s by %s;%s"
            .formatted(
                status, request.id(), server.id(), "x".repeat(random.nextInt(MAX_BODY_BYTES)));
    record(request, ran, whole ? status : 0, body);
    Thread.sleep(random.nextInt(random.nextInt(4) == 0 ? LONG_RUN_MILLIS : SHORT_RUN_MILLIS));
    SoakResponses.Framing framing = SoakResponses.Framing.draw(random);
    String response = SoakResponses.response(request.id(), status, ran, framing, body);
    switch (deed) {
      case RESET_AFTER_RUN -> connection.reset();
      case CUT -> writeCut(response, framing, random, connection);
      case SUCCEED, FAIL, REFUSE, BUSY_AFTER_RUN -> {
        if (framing == SoakResponses.Framing.CONNECTION) {
          connection.writeWithoutLength(response);
        } else {
          connection.write(response);
        }
        boolean again = random.nextDouble() < SECOND_ANSWERS;
        if (again) {
          SecondAnswer.draw(request.id(), status, body, random).writeLate(connection);
        }
        if (framing == SoakResponses.Framing.CONNECTION) {
          Thread.sleep(again ? random.nextInt(MAX_PAUSE_MILLIS) : 0);
          connection.close();
        }
      }
    }
  }

  private static void writeCut(
      String response,
      SoakResponses.Framing framing,
      SplittableRandom random,
      SoakConnection connection)
      throws IOException {
    connection.write(response.substring(0, random.nextInt(response.length() - 1)));
    // An orderly close would mark the end of a body without length.
    if (framing == SoakResponses.Framing.CONNECTION || random.nextBoolean()) {
      connection.reset();
    } else {
      connection.close();
    }
  }

  private void respondWithEvents(
      SoakConnection.Request request, Deed deed, SplittableRandom random, SoakConnection connection)
      throws IOException, InterruptedException {
    String lastEventId = request.header("Last-Event-Id");
    int first = lastEventId.isEmpty() ? 1 : Integer.parseInt(lastEventId) + 1;
    int cutAt = deed == Deed.CUT ? first + random.nextInt(EVENTS) : EVENTS + 1;
    boolean chunks = random.nextInt(3) > 0;
    record(request, true, SoakResponses.OK, "");
    connection.write(SoakResponses.streamHead(request.id(), chunks));
    if (random.nextDouble() < SECOND_ANSWERS) {
      SecondAnswer.draw(request.id(), SoakResponses.OK, "whole", random).writeLate(connection);
    }
    for (int number = first; number <= EVENTS; number++) {
      Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
      String event = SoakResponses.event(request.path(), number, server.version());
      String text = chunks ? FakeBackend.chunk(event) : event;
      if (number == cutAt) {
        connection.write(text.substring(0, random.nextInt(text.length() - 1)));
        connection.reset();
        return;
      }
      connection.write(text);
    }
    if (chunks) {
      connection.write(FakeBackend.chunk(""));
    } else {
      connection.close();
    }
  }

  private void record(SoakConnection.Request request, boolean ran, int status, String body) {
    answers.add(
        new Answer(SoakClock.millis(), server, request.id(), request.path(), ran, status, body));
  }
}
