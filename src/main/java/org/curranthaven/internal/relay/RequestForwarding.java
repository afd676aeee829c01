package org.curranthaven.internal.relay;

import java.util.List;
import java.util.function.Predicate;
import org.curranthaven.internal.catalog.DataCentreRegions;
import org.curranthaven.internal.catalog.HomeRegions;
import org.jspecify.annotations.Nullable;

/**
 * Decides which requests other gateways serve in place of this one. Answers a partition from all
 * backend servers while other hosts and callers are still connected. Confined to the event loop.
 */
final class RequestForwarding {
  /** Time below which a request is not worth another connection. */
  private static final long MIN_LEFT_MILLIS = 20;

  private final BackendReach reach;
  private final OtherGateways gateways;

  RequestForwarding(BackendReach reach, OtherGateways gateways) {
    this.reach = reach;
    this.gateways = gateways;
  }

  BackendReach reach() {
    return reach;
  }

  OtherGateways gateways() {
    return gateways;
  }

  /** Returns whether a request that another gateway sent here goes back, since nobody serves it. */
  boolean isMisdirected(InboundRequest request) {
    return request.isForwarded() && reach.isPartitioned();
  }

  /** Returns the request for another gateway, or null if this gateway has to serve it. */
  @Nullable ForwardedRequest forNewRequest(
      RelayContext context,
      CallerConnection caller,
      InboundRequest request,
      HomeRegions homeRegions,
      long deadlineAtMillis) {
    return request.isForwarded() || !reach.shouldForward(context.clock().nowMillis())
        ? null
        : forUnservedRequest(context, caller, request, homeRegions, deadlineAtMillis);
  }

  /**
   * Returns the request for another gateway after this one has not reached any backend server for
   * it, or null if no other gateway may get it or this one is about to stop.
   */
  @Nullable ForwardedRequest forUnservedRequest(
      RelayContext context,
      CallerConnection caller,
      InboundRequest request,
      HomeRegions homeRegions,
      long deadlineAtMillis) {
    long nowMillis = context.clock().nowMillis();
    if (context.isDraining() || deadlineAtMillis - nowMillis < MIN_LEFT_MILLIS) {
      return null;
    }
    Predicate<String> allowed =
        allowedDataCentres(homeRegions, context.regions(), context.dataCentre());
    List<String> others = gateways.inRandomOrder(allowed, nowMillis, context::nextRandom);
    return others.isEmpty()
        ? null
        : new ForwardedRequest(context, caller, request, deadlineAtMillis, others);
  }

  /**
   * Returns which data centres may get a request: those in its home regions, or in the region of
   * this gateway if it has none.
   */
  static Predicate<String> allowedDataCentres(
      HomeRegions homeRegions, DataCentreRegions known, String ownDataCentre) {
    String ownRegion = known.byDataCentre().get(ownDataCentre);
    if (!homeRegions.restricted() && ownRegion == null) {
      return dataCentre -> true;
    }
    HomeRegions allowed =
        homeRegions.restricted() ? homeRegions : HomeRegions.of(List.of(String.valueOf(ownRegion)));
    return known.dataCentresIn(allowed)::contains;
  }
}
