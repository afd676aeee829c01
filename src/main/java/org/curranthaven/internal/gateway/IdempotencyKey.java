package org.curranthaven.internal.gateway;

import java.util.UUID;
import java.util.random.RandomGenerator;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * Idempotency key of a request that must not be repeated.
 *
 * @param key the key
 * @param issuedAtMillis time at which the key was issued, in epoch milliseconds
 * @param fromCaller whether the caller sent it
 */
record IdempotencyKey(String key, long issuedAtMillis, boolean fromCaller) {
  private static final int MAX_KEY_CHARS = 128;
  private static final int UUID_VERSION_WITH_TIME = 7;

  /**
   * Reads the key from the headers of a request, or creates one if there is none.
   *
   * @param keyHeader value of the header Idempotency-Key
   * @param issuedAtHeader value of the header Curranthaven-Issued-At, in epoch milliseconds
   * @param epochMillis current time, in epoch milliseconds
   * @param random source of the random bits of a created key
   */
  static Outcome<IdempotencyKey> of(
      @Nullable String keyHeader,
      @Nullable String issuedAtHeader,
      long epochMillis,
      RandomGenerator random) {
    if (keyHeader == null || keyHeader.isBlank()) {
      return Outcome.success(
          new IdempotencyKey(uuidWithTime(epochMillis, random).toString(), epochMillis, false));
    }
    if (keyHeader.length() > MAX_KEY_CHARS) {
      return Outcome.failed(
          ResultCode.INVALID_PARAMETER,
          "the Idempotency-Key is longer than " + MAX_KEY_CHARS + " characters");
    }
    if (issuedAtHeader != null) {
      return withIssuedAtHeader(keyHeader, issuedAtHeader);
    }
    return withEmbeddedTime(keyHeader);
  }

  private static Outcome<IdempotencyKey> withIssuedAtHeader(
      String keyHeader, String issuedAtHeader) {
    try {
      return Outcome.success(
          new IdempotencyKey(keyHeader, Long.parseLong(issuedAtHeader.strip()), true));
    } catch (NumberFormatException e) {
      return Outcome.failed(
          ResultCode.INVALID_PARAMETER,
          "the header Curranthaven-Issued-At is not a number of milliseconds");
    }
  }

  private static Outcome<IdempotencyKey> withEmbeddedTime(String keyHeader) {
    try {
      UUID uuid = UUID.fromString(keyHeader);
      if (uuid.version() == UUID_VERSION_WITH_TIME) {
        return Outcome.success(
            new IdempotencyKey(keyHeader, uuid.getMostSignificantBits() >>> 16, true));
      }
    } catch (IllegalArgumentException e) {
      // Reported below, like a UUID of another version.
    }
    return Outcome.failed(
        ResultCode.KEY_WITHOUT_TIME,
        "the Idempotency-Key does not contain the time at which it was issued");
  }

  /** Creates a UUID of version 7. */
  static UUID uuidWithTime(long epochMillis, RandomGenerator random) {
    long high = (epochMillis << 16) | 0x7000L | random.nextLong(0x1000);
    long low = 0x8000_0000_0000_0000L | (random.nextLong() >>> 2);
    return new UUID(high, low);
  }
}
