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
public final class RequestFingerprint {
  private static final String DIGEST = "SHA-256";

  private RequestFingerprint() {}

  /** Returns the fingerprint of a request; never 0. */
  static long of(InboundRequest request) {
    return of(request.method().name(), request.uri(), request.body());
  }

  /** Returns the fingerprint of the request with the given path and query; never 0. */
  public static long of(String method, String uri, byte[] body) {
    MessageDigest digest = newDigest();
    digest.update((method + " " + uri).getBytes(StandardCharsets.UTF_8));
    digest.update((byte) '\n');
    long start = ByteBuffer.wrap(digest.digest(body)).getLong();
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
