package org.curranthaven.internal.relay;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;

/** Why a connection could not be opened. */
enum ConnectFailure {
  /** The host at the address refused it: no process listens there. */
  REFUSED,
  /** Nothing answered: no network path leads to the host, or a packet was lost. */
  UNREACHABLE,
  /** This host could not try, such as for want of a descriptor or a port. */
  LOCAL;

  /** Returns what the exception of a connection attempt shows. */
  static ConnectFailure of(Throwable cause) {
    return switch (cause) {
      case ConnectTimeoutException ignored -> UNREACHABLE;
      case NoRouteToHostException ignored -> UNREACHABLE;
      case ConnectException ignored -> REFUSED;
      default -> LOCAL;
    };
  }
}
