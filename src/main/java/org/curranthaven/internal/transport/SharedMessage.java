package org.curranthaven.internal.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Objects;
import org.curranthaven.internal.transport.wire.Envelope;
import org.jspecify.annotations.Nullable;

/**
 * A large message, or part of one, that many hosts get: all connections that have to write it share
 * one encoded copy, which is given back when the last of them has written it. Confined to the event
 * loop of the {@link PeerNetwork} that sends it.
 *
 * <pre>{@code
 * SharedMessage catalog = new SharedMessage(envelopeWithCatalog);
 * gateways.forEach(gateway -> network.send(gateway, heartbeat(gateway), catalog, () -> {}));
 * }</pre>
 */
public final class SharedMessage {
  private final Envelope message;
  private @Nullable ByteBuf encoded;
  private int writers;

  /** Creates a message that holds only the fields that are the same for all hosts. */
  public SharedMessage(Envelope message) {
    this.message = message;
  }

  /** Returns the fields that are the same for all hosts. */
  public Envelope message() {
    return message;
  }

  int size() {
    return message.getSerializedSize();
  }

  /**
   * Returns the encoded message for one more connection, which calls {@link #written} once it needs
   * it no longer; null if there is no memory for it.
   */
  @Nullable ByteBuf acquire(ByteBufAllocator allocator, UnwrittenBytes unwritten) {
    ByteBuf buffer = encoded;
    if (buffer == null) {
      if (!unwritten.reserve(size())) {
        return null;
      }
      buffer = encode(allocator);
      encoded = buffer;
    }
    writers++;
    return buffer.retainedDuplicate();
  }

  private ByteBuf encode(ByteBufAllocator allocator) {
    ByteBuf buffer = allocator.directBuffer(size());
    try (ByteBufOutputStream out = new ByteBufOutputStream(buffer)) {
      message.writeTo(out);
      return buffer;
    } catch (IOException e) {
      buffer.release();
      throw new UncheckedIOException(e);
    }
  }

  /** Records that a connection needs the encoded message no longer. */
  void written(UnwrittenBytes unwritten) {
    writers--;
    if (writers == 0) {
      Objects.requireNonNull(encoded).release();
      encoded = null;
      unwritten.release(size());
    }
  }
}
