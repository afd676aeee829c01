package org.curranthaven.internal.settings;

import java.net.InetSocketAddress;

/** Parses addresses of the form IP:PORT; host names are not accepted. */
public final class Addresses {
  private static final int MAX_PORT = 65_535;

  private Addresses() {}

  /**
   * Parses an address; an IPv6 address is written in brackets.
   *
   * @throws IllegalArgumentException if the address is not IP:PORT
   */
  public static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    if (colon <= 0 || !isNumeric(address.substring(0, colon))) {
      throw new IllegalArgumentException(
          "'"
              + address
              + "' is not IP:PORT; write an IP address and a port, such as 10.0.0.1:7400");
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
      // Reported below, like a port that is out of range.
    }
    throw new IllegalArgumentException(
        "'" + address + "' has no valid port; write a port from 0 to " + MAX_PORT);
  }

  private static boolean isNumeric(String ipAddress) {
    return ipAddress.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:.]+\\]");
  }
}
