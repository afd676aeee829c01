package org.curranthaven.internal.dispatch;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.curranthaven.internal.catalog.ServiceVersion;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.curranthaven.internal.transport.wire.ServedVersion;
import org.jspecify.annotations.Nullable;

/**
 * Keeps streams at the software version that began them, and leaves them room there while the
 * versions of a service change. Not thread-safe.
 */
final class VersionBinding {
  private final Backends backends;
  private final StreamOrigins origins;
  private final VersionDecisions decisions = new VersionDecisions();

  VersionBinding(Backends backends, StreamOrigins origins) {
    this.backends = backends;
    this.origins = origins;
  }

  /**
   * Returns the request with the software version that may run it: for one that takes up a stream,
   * the version that began it. Returns null if that is unknown, or of another service, as after a
   * change of the route.
   */
  @Nullable PlacementRequest bind(PlacementRequest request, long nowMillis) {
    if (request.getVersionBound() || !request.getResumes()) {
      return request;
    }
    String version = versionOfResumed(request, nowMillis);
    return version == null
        ? null
        : request.toBuilder().setVersionBound(true).setSoftwareVersion(version).build();
  }

  private @Nullable String versionOfResumed(PlacementRequest request, long nowMillis) {
    ServiceVersion origin = origins.originOf(request.getResumedStream());
    if (origin != null) {
      if (!origin.service().equals(request.getService())) {
        decisions.recordUnknown(request, "it began at service " + origin.service(), nowMillis);
        return null;
      }
      long ageMillis = origins.outputAgeMillis(request.getResumedStream(), nowMillis);
      decisions.recordByOrigin(request, origin.version(), ageMillis, nowMillis);
      return origin.version();
    }
    if (request.getSeveralServices()) {
      decisions.recordUnknown(
          request, "its origin is unknown, and its route has several services", nowMillis);
      return null;
    }
    recordServing(nowMillis);
    String onlyVersion = origins.onlyVersion(request.getService(), nowMillis);
    if (onlyVersion == null) {
      decisions.recordUnknown(
          request, "its origin is unknown, and several versions may have begun it", nowMillis);
    } else {
      decisions.recordByOnlyVersion(request, onlyVersion, nowMillis);
    }
    return onlyVersion;
  }

  /** Returns and clears lines that tell by what versions were decided. */
  List<String> drainDecisions() {
    return decisions.drain();
  }

  /** Returns whether a backend server may run the request, by its software version. */
  static boolean allows(BackendState backend, PlacementRequest request) {
    return !request.getVersionBound()
        || ServiceVersion.isSame(backend.softwareVersion(), request.getSoftwareVersion());
  }

  /** Returns whether a version is required that no backend server has which takes requests. */
  boolean isVersionGone(PlacementRequest request) {
    return request.getVersionBound() && backends.notLeavingFor(request).findAny().isEmpty();
  }

  /** Returns whether the request waits for backend servers that others need not wait for. */
  boolean waitsApart(PlacementRequest request) {
    return request.getVersionBound() && backends.hasSeveralVersions(request.getService());
  }

  /**
   * Returns the candidates for a request that may begin at any version, without those of versions
   * that queued streams wait for.
   *
   * @param awaited versions that queued requests are bound to
   */
  List<BackendState> withoutAwaited(
      List<BackendState> candidates, PlacementRequest request, Set<String> awaited) {
    if (request.getVersionBound() || !backends.hasSeveralVersions(request.getService())) {
      return candidates;
    }
    return candidates.stream()
        .filter(backend -> !awaited.contains(backend.softwareVersion()))
        .toList();
  }

  /**
   * Returns the candidates whose versions lose no backend servers at present: on the others, the
   * streams of those that leave need the room.
   */
  List<BackendState> withoutReplaced(List<BackendState> candidates, PlacementRequest request) {
    if (request.getVersionBound() || !backends.hasSeveralVersions(request.getService())) {
      return candidates;
    }
    Set<String> replaced =
        backends.all().stream()
            .filter(backend -> backend.serves(request.getService()))
            .filter(BackendState::hasAnnouncedLeaving)
            .map(BackendState::softwareVersion)
            .collect(Collectors.toSet());
    return candidates.stream()
        .filter(backend -> !replaced.contains(backend.softwareVersion()))
        .toList();
  }

  /** Records output of a request, which shows the version of its stream. */
  void recordOutput(RunningRequest running, BackendState backend, long nowMillis) {
    origins.recordOutput(running.request, backend.softwareVersion(), nowMillis);
  }

  void recordServing(BackendState backend, long nowMillis) {
    origins.recordServing(backend.service(), backend.softwareVersion(), nowMillis);
  }

  private void recordServing(long nowMillis) {
    backends.all().forEach(backend -> recordServing(backend, nowMillis));
  }

  /** Returns the versions that serve or have served lately, for other hosts. */
  List<ServedVersion> exportServed(long nowMillis) {
    recordServing(nowMillis);
    return origins.exportServed(nowMillis);
  }
}
