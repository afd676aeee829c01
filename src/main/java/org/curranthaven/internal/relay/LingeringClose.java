package org.curranthaven.internal.relay;

import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import org.curranthaven.internal.transport.EventLoops;

/**
 * Closes a connection on which the caller still sends. A close with unread bytes resets the
 * connection, so that the caller may lose the response that it was sent.
 */
final class LingeringClose {
  private LingeringClose() {}

  /**
   * Ends this side of the connection, and closes it after a time in which what the caller sends is
   * read and dropped. Its handler closes it earlier at the end of the request.
   */
  static void start(Channel channel, ConnectionTimers timers, long maxMillis) {
    if (channel instanceof DuplexChannel duplexChannel) {
      duplexChannel.shutdownOutput().addListener(EventLoops.REPORT_ERROR);
      timers.schedule(() -> channel.close(), maxMillis);
    } else {
      channel.close();
    }
  }
}
