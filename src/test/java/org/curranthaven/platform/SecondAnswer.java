package org.curranthaven.platform;

import java.io.IOException;
import java.util.SplittableRandom;

/**
 * A second answer to a request, the same or with another status, at times without the request's id
 * or cut off anywhere, which comes up to some seconds late.
 */
record SecondAnswer(String text, int latenessMillis) {
  private static final int MAX_LATENESS_MILLIS = 4_000;
  private static final int SHORT_LATENESS_MILLIS = 50;

  /** Half of the cuts lie in the first lines of the head. */
  private static final int FIRST_LINES_BYTES = 40;

  static SecondAnswer draw(String requestId, int status, String body, SplittableRandom random) {
    int otherStatus =
        status == SoakResponses.UNAVAILABLE ? SoakResponses.OK : SoakResponses.UNAVAILABLE;
    int copyStatus = random.nextBoolean() ? status : otherStatus;
    SoakResponses.Framing framing = SoakResponses.Framing.draw(random);
    boolean ran = copyStatus != SoakResponses.UNAVAILABLE;
    String text = SoakResponses.response(requestId, copyStatus, ran, framing, body);
    if (random.nextInt(4) == 0) {
      text = text.replace("Attempt-Id: " + requestId + "\r\n", "");
    }
    if (random.nextInt(4) == 0) {
      int bound = random.nextBoolean() ? FIRST_LINES_BYTES : text.length();
      text = text.substring(0, 1 + random.nextInt(bound - 1));
    }
    int bound = random.nextInt(3) == 0 ? MAX_LATENESS_MILLIS : SHORT_LATENESS_MILLIS;
    return new SecondAnswer(text, random.nextInt(bound));
  }

  /** Writes the answer between two other writes of the connection, if it is still open. */
  void writeLate(SoakConnection connection) {
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                Thread.sleep(latenessMillis);
                connection.writeCopy(text);
              } catch (IOException | InterruptedException e) {
                // The connection is closed.
              }
            });
  }
}
