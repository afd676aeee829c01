package org.curranthaven.platform;

import java.util.SplittableRandom;

/** The bytes of the responses of a {@link SoakScript}. */
final class SoakResponses {
  static final int OK = 200;
  static final int MISDIRECTED = 421;
  static final int FAILED = 500;
  static final int UNAVAILABLE = 503;

  /** How a body ends. */
  enum Framing {
    LENGTH,
    CHUNKS,
    CONNECTION;

    static Framing draw(SplittableRandom random) {
      return values()[random.nextInt(values().length)];
    }
  }

  private SoakResponses() {}

  static String response(String requestId, int status, boolean ran, Framing framing, String body) {
    String proof = ran ? "Response-Seal: s\r\n" : "Not-Executed: 1\r\n";
    String end =
        switch (framing) {
          case LENGTH -> "Content-Length: " + body.length() + "\r\n";
          case CHUNKS -> "Transfer-Encoding: chunked\r\n";
          case CONNECTION -> "";
        };
    String framed =
        framing == Framing.CHUNKS ? FakeBackend.chunk(body) + FakeBackend.chunk("") : body;
    return """
        HTTP/1.1 %d X\r
        Server: stand-in\r
        Content-Type: text/plain\r
        Keep-Alive: timeout=60\r
        Attempt-Id: %s\r
        %s%s\r
        %s"""
        .formatted(status, requestId, proof, end, framed);
  }

  static String misdirected(String requestId) {
    return response(requestId, MISDIRECTED, false, Framing.LENGTH, "");
  }

  static String healthy(String serverId) {
    return "HTTP/1.1 200 OK\r\nRunner-Id: %s\r\nContent-Length: 0\r\n\r\n".formatted(serverId);
  }

  static String earlyHints(String requestId) {
    return "HTTP/1.1 103 Early Hints\r\nAttempt-Id: %s\r\n\r\n".formatted(requestId);
  }

  static String streamHead(String requestId, boolean chunks) {
    return """
        HTTP/1.1 200 OK\r
        Attempt-Id: %s\r
        Response-Seal: s\r
        Content-Type: text/event-stream\r
        %s\r
        """
        .formatted(requestId, chunks ? "Transfer-Encoding: chunked\r\n" : "");
  }

  static String event(String stream, int number, String version) {
    return "id: %d\ndata: %s/%d by %s\n\n".formatted(number, stream, number, version);
  }
}
