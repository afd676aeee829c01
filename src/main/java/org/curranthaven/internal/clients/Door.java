package org.curranthaven.internal.clients;

/** Addresses at which a host accepts connections. */
public enum Door {
  /** Requests of callers. */
  CALLERS,
  /** Readiness checks of load balancers. */
  READINESS,
  /** Requests of backend servers and operators. */
  CONTROL,
  /** Messages of other hosts. */
  PEERS
}
