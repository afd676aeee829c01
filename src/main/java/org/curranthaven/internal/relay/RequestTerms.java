package org.curranthaven.internal.relay;

import java.util.SplittableRandom;
import java.util.function.DoubleSupplier;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.CatalogWorkspace;
import org.curranthaven.internal.catalog.HomeRegions;
import org.curranthaven.internal.catalog.Repeatability;
import org.curranthaven.internal.catalog.Route;
import org.jspecify.annotations.Nullable;

/** What follows for one request from its headers, its route and its workspace together. */
final class RequestTerms {
  private RequestTerms() {}

  /** Returns the longest time that a request may take, in milliseconds. */
  static long timeoutMillis(InboundRequest request, Route route) {
    return request.deadlineMillis() > 0
        ? Math.min(request.deadlineMillis(), route.timeoutMillis())
        : route.timeoutMillis();
  }

  /** Returns the regions in which a request may run. */
  static HomeRegions homeRegions(
      Catalog catalog, Route route, @Nullable CatalogWorkspace workspace) {
    return workspace == null || !catalog.needsKey(route)
        ? route.homeRegions()
        : route.homeRegions().and(workspace.homeRegions());
  }

  /**
   * Returns the number from 0 to 1 that selects the service of a request. A stream and its
   * continuation have the same, so that a caller that takes a stream up reaches the service that
   * began it.
   */
  static double drawFor(InboundRequest request, Route route, DoubleSupplier random) {
    boolean mayBeTakenUp = route.kind() == Repeatability.STREAM && route.isRepeatable();
    if (!mayBeTakenUp || !route.hasSeveralServices()) {
      return random.getAsDouble();
    }
    String firstRequestId =
        request.resumedRequestId().isEmpty() ? request.id() : request.resumedRequestId();
    return new SplittableRandom(RequestFingerprint.ofStream("", firstRequestId)).nextDouble();
  }
}
