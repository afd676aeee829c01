package org.curranthaven.internal.relay;

/**
 * Finds the status lines in the lines of a body: a version, what begins as a number, and a space or
 * the end of the line. One may begin anywhere in a line, and its status may be none that a response
 * may have. Looks at each byte once, whatever the bytes are. Not thread-safe.
 */
final class StatusLineMatcher {
  /** Bytes before the status. */
  private static final String PREFIX = "HTTP/1.1 ";

  /** Index of the minor version in the prefix, which is 0 or 1. */
  private static final int MINOR_VERSION_INDEX = 7;

  /** Bytes that a status may hold besides digits, as in {@code -200} or {@code 0x200}. */
  private static final String NUMBER_BYTES = "+-abcdefxABCDEFX";

  private static final long NONE = -1;

  /** Bytes of the prefix and the status up to the latest byte; white space may follow them. */
  private int matchedBytes;

  /** Whether white space has followed the status. */
  private boolean statusEnded;

  /** Offset at which these begin. */
  private long candidateOffset;

  private int candidateStatus;

  /** Offset of the latest status line that is certain in this line. */
  private long foundOffset = NONE;

  /** Status in the latest status line. */
  private int status;

  /** Handles the next byte of a line, other than its end. */
  void add(byte octet, long offset) {
    if (matchedBytes > PREFIX.length()) {
      addToStatus(octet);
    } else if (isExpected(octet)) {
      matchedBytes++;
      candidateStatus = withDigit(0, octet);
    } else {
      matchedBytes = 0;
    }
    // The first byte of the prefix is no other byte of it or of a status: no match begins inside
    // another.
    if (matchedBytes <= 1 && octet == PREFIX.charAt(0)) {
      matchedBytes = 1;
      candidateOffset = offset;
      statusEnded = false;
    }
  }

  private void addToStatus(byte octet) {
    if (!statusEnded && isNumberByte(octet)) {
      matchedBytes++;
      candidateStatus = withDigit(candidateStatus, octet);
    } else if (!statusEnded && octet == ' ') {
      find();
      matchedBytes = 0;
    } else if (Character.isWhitespace(octet & 0xff)) {
      statusEnded = true;
    } else {
      matchedBytes = 0;
    }
  }

  private boolean isExpected(byte octet) {
    if (matchedBytes == PREFIX.length()) {
      return isDigit(octet) || octet == '+' || octet == '-';
    }
    return matchedBytes == MINOR_VERSION_INDEX
        ? octet == '0' || octet == '1'
        : octet == PREFIX.charAt(matchedBytes);
  }

  private static boolean isNumberByte(byte octet) {
    return isDigit(octet) || NUMBER_BYTES.indexOf(octet) >= 0;
  }

  private static boolean isDigit(byte octet) {
    return octet >= '0' && octet <= '9';
  }

  private static int withDigit(int number, byte octet) {
    return isDigit(octet) ? 10 * number + octet - '0' : number;
  }

  private void find() {
    foundOffset = candidateOffset;
    status = candidateStatus;
  }

  /** Returns the offset of the latest status line of the line that ends; negative for none. */
  long endLine() {
    if (matchedBytes > PREFIX.length()) {
      find();
    }
    long offset = foundOffset;
    matchedBytes = 0;
    foundOffset = NONE;
    return offset;
  }

  /** Returns the status in the latest status line; 0 if it is none that a response may have. */
  int status() {
    return StatusCodes.isValid(status) ? status : 0;
  }

  /**
   * Returns the offset of the first part of a status line, or a whole one, in the line that has not
   * ended; negative for none.
   */
  long openOffset() {
    return foundOffset == NONE && matchedBytes > 0 ? candidateOffset : foundOffset;
  }
}
