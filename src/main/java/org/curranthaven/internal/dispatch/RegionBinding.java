package org.curranthaven.internal.dispatch;

import org.curranthaven.internal.catalog.DataCentreRegions;
import org.curranthaven.internal.catalog.HomeRegions;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.PlacementRequest;

/**
 * Keeps requests within the regions that their route and workspace allow. A placement request
 * carries the data centres in them, so that only gateways need to know the regions.
 */
public final class RegionBinding {
  private RegionBinding() {}

  /** Restricts a placement request to the data centres in the regions. */
  public static void bind(
      PlacementRequest.Builder request, HomeRegions regions, DataCentreRegions known) {
    if (regions.restricted()) {
      request.setRegionBound(true).addAllAllowedDataCentres(known.dataCentresIn(regions));
    }
  }

  /** Returns whether the backend server may receive the request, by its data centre. */
  public static boolean allows(BackendRecord backend, PlacementRequest request) {
    return !request.getRegionBound()
        || request.getAllowedDataCentresList().contains(backend.getDataCentre());
  }

  /** Returns whether the request waits for backend servers that others need not wait for. */
  static boolean waitsApart(Backends backends, PlacementRequest request) {
    return request.getRegionBound()
        && backends
            .notLeaving(request.getService())
            .anyMatch(backend -> !allows(backend.registration(), request));
  }

  /**
   * Returns whether the service has backend servers, but none in the regions; those in evacuated
   * data centres count, since an evacuation ends.
   */
  static boolean isUnservable(Backends backends, PlacementRequest request) {
    if (!request.getRegionBound()) {
      return false;
    }
    boolean hasBackend = backends.present(request.getService()).findAny().isPresent();
    return request.getAllowedDataCentresCount() == 0
        || (hasBackend
            && backends
                .present(request.getService())
                .noneMatch(backend -> allows(backend.registration(), request)));
  }
}
