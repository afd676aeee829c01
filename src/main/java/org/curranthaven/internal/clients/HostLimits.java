package org.curranthaven.internal.clients;

import java.util.Map;

/**
 * Most connections of each kind that a host keeps, which together stay below the descriptors that
 * it may open.
 *
 * @param descriptors limit on the open descriptors of the process
 * @param reserved for files, the log, listening sockets and what the runtime opens late
 * @param callers accepted from callers
 * @param readiness accepted from load balancers
 * @param control accepted from backend servers and operators
 * @param peers accepted from other hosts, and as many opened to them
 * @param status accepted for metrics
 * @param backends opened to backend servers
 */
public record HostLimits(
    int descriptors,
    int reserved,
    int callers,
    int readiness,
    int control,
    int peers,
    int status,
    int backends) {
  private static final int MAX_RESERVED = 256;
  private static final int MIN_CONNECTIONS = 16;

  /** Connections of callers for which the heap of a gateway has room beside all that they send. */
  private static final int MAX_CALLERS = 1_200;

  public HostLimits {
    if (reserved + callers + readiness + control + 2 * peers + status + backends > descriptors) {
      throw new IllegalArgumentException(
          "the limit of "
              + descriptors
              + " open descriptors is too low for a host; raise it, or the setting maxDescriptors");
    }
  }

  /** Returns the limits of a gateway, two thirds of whose connections are to backend servers. */
  public static HostLimits gateway(int descriptors) {
    int reserved = reserved(descriptors);
    int peers = part(descriptors, 64);
    int readiness = part(descriptors, 32);
    int status = part(descriptors, 64);
    int left = descriptors - reserved - 2 * peers - readiness - status;
    int callers = Math.min(MAX_CALLERS, left / 3);
    return new HostLimits(
        descriptors, reserved, callers, readiness, 0, peers, status, left - callers);
  }

  /** Returns the limits of a control host, to which all hosts and backend servers connect. */
  public static HostLimits control(int descriptors) {
    int reserved = reserved(descriptors);
    int peers = part(descriptors, 5);
    int control = descriptors - reserved - 2 * peers;
    return new HostLimits(descriptors, reserved, 0, 0, control, peers, 0, 0);
  }

  private static int reserved(int descriptors) {
    return Math.min(MAX_RESERVED, descriptors / 4);
  }

  private static int part(int descriptors, int divisor) {
    return Math.max(MIN_CONNECTIONS, descriptors / divisor);
  }

  /** Returns the bounds of the addresses at which clients' requests are accepted. */
  public Map<Door, Integer> connections() {
    return Map.of(Door.CALLERS, callers, Door.READINESS, readiness, Door.CONTROL, control);
  }
}
