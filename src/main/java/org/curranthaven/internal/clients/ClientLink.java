package org.curranthaven.internal.clients;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import java.util.function.IntSupplier;

/**
 * What the handler of a client's requests tells about them, so that its connection is bounded.
 * Confined to the event loop.
 */
public interface ClientLink {
  /** Bounds nothing, for requests that do not come from a connection. */
  ClientLink UNBOUNDED = new ClientLink() {};

  /** Returns whether bytes behind the request in progress were received. */
  default boolean hasUndecoded() {
    return false;
  }

  /** Decodes the next request, since the response to the present one has been written. */
  default void proceed() {}

  /** Sets the bytes of an incomplete body; returns whether they may be held. */
  default boolean holdBody(long bytes) {
    return true;
  }

  /** Records the memory that an incomplete large body has elsewhere. */
  default void reserved(long bytes) {}

  /** Returns whether a complete request may be processed; it is rejected as not run if not. */
  default boolean admit() {
    return true;
  }

  /** Stops reading a body for which there is no memory, or goes on. */
  default void awaitBodyMemory(boolean waiting) {}

  /** Records that the last response was written, which the client may still have to read. */
  default void responded() {}

  /** Records that the client was refused, so that its connection is the first to be closed. */
  default void refused() {}

  /** Adds the handlers that bound the connection and decode its requests. */
  static ClientLink add(
      ClientChannel.Shared shared, Door door, Channel channel, IntSupplier maxHeadBytes) {
    ClientChannel client = new ClientChannel(shared, door, channel);
    RequestDecoder decoder = new RequestDecoder(client, maxHeadBytes);
    ChannelPipeline pipeline = channel.pipeline();
    pipeline.addLast(client, decoder);
    return new DecodedClient(client, decoder);
  }
}
