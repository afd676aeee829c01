package org.curranthaven.internal.routing;

import java.util.List;

/**
 * Update of a host's open requests, which it broadcasts to the other hosts.
 *
 * @param full whether the update covers all backend servers, so that the host has no open request
 *     on a backend server that is not listed
 * @param shares open requests by backend server; a running count of 0 means that none is left there
 */
public record ShareUpdate(boolean full, List<HostShare> shares) {
  public ShareUpdate {
    shares = List.copyOf(shares);
  }
}
