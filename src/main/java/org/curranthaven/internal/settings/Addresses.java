package org.curranthaven.internal.settings;

import java.net.InetSocketAddress;

/** Addresses written as IP:PORT. */
public final class Addresses {
  private static final int MAX_PORT = 65_535;

  private Addresses() {}

  /**
   * Parses an address.
   *
   * @throws IllegalArgumentException if it is not IP:PORT
   */
  public static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    if (colon <= 0 || !isNumeric(address.substring(0, colon))) {
      throw new IllegalArgumentException("'" + address + "' is not IP:PORT");
    }
    int port = parsePort(address, colon);
    return new InetSocketAddress(address.substring(0, colon).replaceAll("[\\[\\]]", ""), port);
  }

  private static int parsePort(String address, int colon) {
    try {
      int port = Integer.parseInt(address.substring(colon + 1));
      if (port >= 0 && port <= MAX_PORT) {
        return port;
      }
    } catch (NumberFormatException e) {
      // Reported below, as a port out of range is.
    }
    throw new IllegalArgumentException("'" + address + "' has no port from 0 to " + MAX_PORT);
  }

  private static boolean isNumeric(String host) {
    return host.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:.]+\\]");
  }
}
