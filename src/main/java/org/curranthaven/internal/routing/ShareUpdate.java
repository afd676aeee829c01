package org.curranthaven.internal.routing;

import java.util.List;

/**
 * What a host tells the others of its open requests.
 *
 * @param full whether it has nothing open on servers that are not named
 * @param shares shares by server; one without requests means that it has nothing open there
 */
public record ShareUpdate(boolean full, List<HostShare> shares) {
  public ShareUpdate {
    shares = List.copyOf(shares);
  }
}
