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
    Builder builder = new Builder(method, uri);
    builder.add(ByteBuffer.wrap(body));
    return builder.build();
  }

  /**
   * Computes the fingerprint of a request while its body is received: a large body takes too long
   * to be hashed at once on the event loop.
   */
  static final class Builder {
    private final MessageDigest digest = newDigest();

    Builder(String method, String uri) {
      digest.update((method + " " + uri).getBytes(StandardCharsets.UTF_8));
      digest.update((byte) '\n');
    }

    /** Adds the next part of the body. */
    void add(ByteBuffer part) {
      digest.update(part);
    }

    /** Returns the fingerprint; never 0. The builder cannot be used afterwards. */
    long build() {
      return nonZero(digest.digest());
    }
  }

  /**
   * Identifies the stream that a request began, for callers that take it up: a request of another
   * workspace with the same id is another one. Never 0.
   */
  static long ofStream(String workspace, String requestId) {
    MessageDigest digest = newDigest();
    digest.update(workspace.getBytes(StandardCharsets.UTF_8));
    digest.update((byte) '\n');
    return nonZero(digest.digest(requestId.getBytes(StandardCharsets.UTF_8)));
  }

  private static long nonZero(byte[] hash) {
    long start = ByteBuffer.wrap(hash).getLong();
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
