package org.curranthaven.internal.gateway;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes SHA-256 hashes. */
public final class Hashes {
  private Hashes() {}

  /**
   * Returns the hash of the parts. Each part is preceded by its length, so that moving a byte from
   * one part to the next changes the hash.
   */
  public static ByteString sha256(byte[]... parts) {
    MessageDigest digest = digest();
    for (byte[] part : parts) {
      digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).flip());
      digest.update(part);
    }
    return ByteString.copyFrom(digest.digest());
  }

  /** Returns the hash of a text, in lower-case hexadecimal. */
  public static String sha256Hex(String text) {
    return HexFormat.of().formatHex(digest().digest(text.getBytes(StandardCharsets.UTF_8)));
  }

  private static MessageDigest digest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available in this Java runtime", e);
    }
  }
}
