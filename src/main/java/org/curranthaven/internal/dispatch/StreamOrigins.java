package org.curranthaven.internal.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.curranthaven.internal.catalog.ServiceVersion;
import org.curranthaven.internal.catalog.StreamOriginState;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.curranthaven.internal.transport.wire.ServedVersion;
import org.curranthaven.internal.transport.wire.StreamOrigin;
import org.jspecify.annotations.Nullable;

/**
 * Remembers which software version began each resumable stream, since no other may continue it, and
 * which versions have served lately. Not thread-safe.
 *
 * <pre>{@code
 * origins.recordOutput(request, "v1.2", nowMillis);
 * ServiceVersion origin = origins.originOf(resumedStream);
 * }</pre>
 */
public final class StreamOrigins {
  /**
   * Time after its latest output for which the origin of a stream is remembered; longer than
   * callers wait before they take it up. For as long, streams of a version that no longer serves
   * may be taken up.
   */
  public static final long RETENTION_MILLIS = 120_000;

  /** Streams remembered at most; the one with the oldest output is forgotten first. */
  static final int MAX_STREAMS = 200_000;

  /** Origins in order of their latest output. */
  private final Map<Long, Origin> origins = new LinkedHashMap<>();

  /** When each version was last seen to serve, by service. */
  private final Map<String, Map<String, Long>> servedMillis = new HashMap<>();

  /** Streams that this host has to put into the replicated log; null if it never leads. */
  private final @Nullable UnrecordedStreams unrecorded;

  /** Whether no version can have begun streams that is not known here. */
  private boolean complete;

  private record Origin(ServiceVersion at, long outputAtMillis) {}

  /** Creates the empty knowledge of a host that places the requests of all gateways. */
  public StreamOrigins() {
    this(true, new UnrecordedStreams());
  }

  private StreamOrigins(boolean complete, @Nullable UnrecordedStreams unrecorded) {
    this.complete = complete;
    this.unrecorded = unrecorded;
  }

  /**
   * Returns the empty knowledge of a gateway, which cannot tell which versions serve at present,
   * however recent its last message.
   */
  static StreamOrigins ofGateway() {
    return new StreamOrigins(false, null);
  }

  /**
   * Sets whether the known versions are complete. Only the leader can tell, while its lease holds:
   * any other host may be out of touch with those that register, for a time that it cannot know.
   */
  public void setComplete(boolean complete) {
    this.complete = complete;
  }

  /**
   * Records output of a request at a software version, which also began its stream. Does nothing if
   * callers cannot take the stream up.
   */
  public void recordOutput(PlacementRequest request, String version, long nowMillis) {
    // Callers name the request that began the stream, also after they have taken it up before.
    long stream =
        request.getResumedStream() == 0 ? request.getStream() : request.getResumedStream();
    if (stream != 0) {
      record(stream, new ServiceVersion(request.getService(), version), nowMillis);
      discardOld(nowMillis);
    }
  }

  private void record(long stream, ServiceVersion at, long outputAtMillis) {
    Origin known = origins.remove(stream);
    Origin origin = new Origin(known == null ? at : known.at(), outputAtMillis);
    origins.put(stream, origin);
    if (unrecorded != null) {
      unrecorded.add(origin.at().service(), stream);
    }
  }

  private void discardOld(long nowMillis) {
    Iterator<Map.Entry<Long, Origin>> oldestFirst = origins.entrySet().iterator();
    while (oldestFirst.hasNext()) {
      Map.Entry<Long, Origin> oldest = oldestFirst.next();
      boolean old = nowMillis - oldest.getValue().outputAtMillis() > RETENTION_MILLIS;
      if (!old && origins.size() <= MAX_STREAMS) {
        return;
      }
      oldestFirst.remove();
      if (unrecorded != null) {
        unrecorded.remove(oldest.getValue().at().service(), oldest.getKey());
      }
    }
  }

  /** Returns the service and the software version that began a stream; null if unknown. */
  public @Nullable ServiceVersion originOf(long stream) {
    Origin origin = origins.get(stream);
    return origin == null ? null : origin.at();
  }

  /** Returns the time since the latest known output of a stream; 0 if its origin is unknown. */
  long outputAgeMillis(long stream, long nowMillis) {
    Origin origin = origins.get(stream);
    return origin == null ? 0 : Math.max(0, nowMillis - origin.outputAtMillis());
  }

  /** Records that backend servers with a software version serve a service. */
  public void recordServing(String service, String version, long nowMillis) {
    servedMillis
        .computeIfAbsent(service, key -> new HashMap<>())
        .merge(version, nowMillis, Math::max);
  }

  /**
   * Returns the only version that can have begun a stream whose origin is unknown; null if there
   * were several lately, or others may have come that are not known here.
   */
  @Nullable String onlyVersion(String service, long nowMillis) {
    return complete ? onlyKnownVersion(service, nowMillis) : null;
  }

  /**
   * Returns the only version that is known to have served a service lately; null if there is none
   * or several. Others may have served too.
   */
  public @Nullable String onlyKnownVersion(String service, long nowMillis) {
    Map<String, Long> served = servedMillis.getOrDefault(service, Map.of());
    Set<String> recent = new TreeSet<>();
    served.forEach(
        (version, atMillis) -> {
          if (nowMillis - atMillis <= RETENTION_MILLIS) {
            recent.add(version);
          }
        });
    boolean oneKnown = recent.size() == 1 && !recent.contains("");
    return oneKnown ? recent.iterator().next() : null;
  }

  /**
   * Returns whether a leader may know the version of a resumed stream that this host does not know:
   * it has the origins that are in the replicated log, and can tell whether the only known version
   * is the only one.
   */
  public boolean mayBeKnownToLeader(PlacementRequest request, long nowMillis) {
    boolean onlyVersionDecides = request.getResumedStream() == 0;
    return !complete
        && request.getResumes()
        && !request.getVersionBound()
        && originOf(request.getResumedStream()) == null
        && (!onlyVersionDecides
            || (!request.getSeveralServices()
                && onlyKnownVersion(request.getService(), nowMillis) != null));
  }

  // ---- replicated log ---------------------------------------------------------------------------

  /**
   * Takes origins that are not in the replicated log yet, and counts them as recorded.
   *
   * @param services services at which they began; the others need no record
   */
  public List<StreamOriginState.BegunAt> takeUnrecorded(Set<String> services, int maxStreams) {
    if (unrecorded == null) {
      return List.of();
    }
    Map<ServiceVersion, List<Long>> taken = new LinkedHashMap<>();
    int left = maxStreams;
    for (String service : unrecorded.services()) {
      List<Long> streams = services.contains(service) ? unrecorded.take(service, left) : List.of();
      for (long stream : streams) {
        ServiceVersion at = Objects.requireNonNull(originOf(stream));
        taken.computeIfAbsent(at, key -> new ArrayList<>()).add(stream);
      }
      left -= streams.size();
    }
    return taken.entrySet().stream()
        .map(entry -> new StreamOriginState.BegunAt(entry.getKey(), entry.getValue()))
        .toList();
  }

  /** Has origins recorded again whose recording failed. */
  public void restoreUnrecorded(List<StreamOriginState.BegunAt> failed) {
    if (unrecorded == null) {
      return;
    }
    for (StreamOriginState.BegunAt origin : failed) {
      unrecorded.restore(
          origin.at().service(), origin.streams().stream().filter(origins::containsKey).toList());
    }
  }

  /** Has each stream recorded again that has further output. */
  public void startGeneration() {
    if (unrecorded != null) {
      unrecorded.startGeneration();
    }
  }

  /** Adds the origins that earlier leaders have recorded; their latest output counts as now. */
  public void restoreRecorded(StreamOriginState.Snapshot recorded, long nowMillis) {
    if (unrecorded != null) {
      // Those of the previous generation are recorded again, since the next one forgets them.
      recorded.present().forEach(origin -> unrecorded.markRecorded(origin.streams()));
    }
    Stream.of(recorded.previous(), recorded.present())
        .flatMap(List::stream)
        .forEach(
            origin -> origin.streams().forEach(stream -> record(stream, origin.at(), nowMillis)));
    discardOld(nowMillis);
  }

  // ---- exchange between hosts -------------------------------------------------------------------

  /** Returns the known origins, with times as ages. */
  public List<StreamOrigin> exportOrigins(long nowMillis) {
    discardOld(nowMillis);
    return origins.entrySet().stream()
        .map(
            entry ->
                StreamOrigin.newBuilder()
                    .setStream(entry.getKey())
                    .setService(entry.getValue().at().service())
                    .setSoftwareVersion(entry.getValue().at().version())
                    .setOutputAgeMillis(Math.max(0, nowMillis - entry.getValue().outputAtMillis()))
                    .build())
        .toList();
  }

  /** Returns the versions that have served lately, with times as ages. */
  public List<ServedVersion> exportServed(long nowMillis) {
    servedMillis
        .values()
        .forEach(versions -> versions.values().removeIf(at -> nowMillis - at > RETENTION_MILLIS));
    return servedMillis.entrySet().stream()
        .flatMap(
            service ->
                service.getValue().entrySet().stream()
                    .map(
                        version ->
                            ServedVersion.newBuilder()
                                .setService(service.getKey())
                                .setSoftwareVersion(version.getKey())
                                .setAgeMillis(Math.max(0, nowMillis - version.getValue()))
                                .build()))
        .toList();
  }

  /** Adds what another host knows. */
  public void merge(
      Collection<StreamOrigin> otherOrigins,
      Collection<ServedVersion> otherServed,
      long nowMillis) {
    for (StreamOrigin other : otherOrigins) {
      long outputAtMillis = nowMillis - other.getOutputAgeMillis();
      Origin known = origins.get(other.getStream());
      if (known == null || known.outputAtMillis() < outputAtMillis) {
        record(
            other.getStream(),
            new ServiceVersion(other.getService(), other.getSoftwareVersion()),
            outputAtMillis);
      }
    }
    for (ServedVersion other : otherServed) {
      recordServing(
          other.getService(), other.getSoftwareVersion(), nowMillis - other.getAgeMillis());
    }
    discardOld(nowMillis);
  }
}
