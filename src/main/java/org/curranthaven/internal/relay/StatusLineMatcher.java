package org.curranthaven.internal.relay;

/**
 * Finds the status lines in the lines of a body: a version, a status from 100 to 599, and a space
 * or the end of the line. One may begin anywhere in a line. Looks at each byte once, whatever the
 * bytes are. Not thread-safe.
 */
final class StatusLineMatcher {
  /** Bytes up to the end of the status. */
  private static final String PATTERN = "HTTP/1.1 200";

  /** Index of the minor version in the pattern, which is 0 or 1. */
  private static final int MINOR_VERSION_INDEX = 7;

  /** Index of the first digit of the status, which is 1 to 5. */
  private static final int FIRST_DIGIT_INDEX = 9;

  private static final long NONE = -1;

  /** Bytes of the pattern up to the latest byte; white space may follow the whole pattern. */
  private int matchedBytes;

  /** Offset at which these begin. */
  private long candidateOffset;

  private int candidateStatus;

  /** Offset of the latest status line that is certain in this line. */
  private long foundOffset = NONE;

  /** Status in the latest status line. */
  private int status;

  /** Handles the next byte of a line, other than its end. */
  void add(byte octet, long offset) {
    if (matchedBytes == PATTERN.length()) {
      addAfterStatus(octet);
    } else if (isExpected(octet)) {
      candidateStatus = 10 * candidateStatus + Character.digit(octet, 10);
      matchedBytes++;
    } else {
      matchedBytes = 0;
    }
    // The first byte of the pattern stands nowhere else in it: no match begins inside another.
    if (matchedBytes <= 1 && octet == PATTERN.charAt(0)) {
      matchedBytes = 1;
      candidateOffset = offset;
    }
    if (matchedBytes <= FIRST_DIGIT_INDEX) {
      candidateStatus = 0;
    }
  }

  private void addAfterStatus(byte octet) {
    if (octet == ' ') {
      foundOffset = candidateOffset;
      status = candidateStatus;
    }
    if (octet == ' ' || !Character.isWhitespace(octet & 0xff)) {
      matchedBytes = 0;
    }
  }

  private boolean isExpected(byte octet) {
    return switch (matchedBytes) {
      case MINOR_VERSION_INDEX -> octet == '0' || octet == '1';
      case FIRST_DIGIT_INDEX -> octet >= '1' && octet <= '5';
      case FIRST_DIGIT_INDEX + 1, FIRST_DIGIT_INDEX + 2 -> octet >= '0' && octet <= '9';
      default -> octet == PATTERN.charAt(matchedBytes);
    };
  }

  /** Returns the offset of the latest status line of the line that ends; negative for none. */
  long endLine() {
    long offset = foundOffset;
    if (matchedBytes == PATTERN.length()) {
      offset = candidateOffset;
      status = candidateStatus;
    }
    matchedBytes = 0;
    foundOffset = NONE;
    return offset;
  }

  /** Returns the status in the latest status line. */
  int status() {
    return status;
  }

  /**
   * Returns the offset of the first part of a status line, or a whole one, in the line that has not
   * ended; negative for none.
   */
  long openOffset() {
    return foundOffset == NONE && matchedBytes > 0 ? candidateOffset : foundOffset;
  }
}
