package org.curranthaven.internal.relay;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Recognizes a request that is sent again under another id: requests with the same method, path,
 * query and body have the same fingerprint. Those of different requests differ for all practical
 * purposes.
 *
 * <pre>{@code
 * long fingerprint = RequestFingerprint.of(request);
 * }</pre>
 */
final class RequestFingerprint {
  private static final String DIGEST = "SHA-256";

  private RequestFingerprint() {}

  /** Returns the fingerprint of a request; never 0. */
  static long of(InboundRequest request) {
    MessageDigest digest = newDigest();
    digest.update((request.method().name() + " " + request.uri()).getBytes(StandardCharsets.UTF_8));
    digest.update((byte) '\n');
    long start = ByteBuffer.wrap(digest.digest(request.body())).getLong();
    return start == 0 ? 1 : start;
  }

  private static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance(DIGEST);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java runtime has " + DIGEST, e);
    }
  }
}
