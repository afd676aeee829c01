package org.curranthaven.internal.relay;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Decides which statuses a response may have: three digits, from 100 to 599 (RFC 9110, section 15).
 * A response with anything else is no answer to its request.
 */
public final class StatusCodes {
  private static final int MIN = 100;
  private static final int MAX = 599;
  private static final int DIGITS = 3;

  private StatusCodes() {}

  /** Returns whether a response may have the status. */
  public static boolean isValid(int status) {
    return status >= MIN && status <= MAX;
  }

  /**
   * Checks the status of a response as it was received.
   *
   * @throws IllegalArgumentException if no response may have it, or if it changes the protocol,
   *     which no request of this host asks for
   */
  static void check(String text) {
    boolean digits = text.length() == DIGITS && text.chars().allMatch(StatusCodes::isDigit);
    if (!digits || !isValid(Integer.parseInt(text))) {
      throw new IllegalArgumentException("\"" + text + "\" is no status of a response");
    }
    if (Integer.parseInt(text) == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
      throw new IllegalArgumentException("the response changes the protocol, unasked");
    }
  }

  private static boolean isDigit(int character) {
    return character >= '0' && character <= '9';
  }
}
