package org.curranthaven.internal.catalog;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Replicated origins of streams that callers may take up: the service and the software version that
 * began each of them. They are kept in two generations. The leader decides when the next one
 * starts, since replicas must not depend on their clocks; what was recorded neither in the present
 * generation nor in the one before it is forgotten. Not thread-safe.
 */
public final class StreamOriginState {
  /** Streams in one generation, at which the next one starts early; bounds memory and snapshots. */
  static final int MAX_STREAMS = 100_000;

  private Map<Long, ServiceVersion> present = new HashMap<>();
  private Map<Long, ServiceVersion> previous = new HashMap<>();

  /**
   * Streams that began at the same service and software version.
   *
   * @param streams ids of the streams, as in placement requests
   */
  public record BegunAt(ServiceVersion at, List<Long> streams) {
    public BegunAt {
      streams = List.copyOf(streams);
    }
  }

  /** Snapshot of the state. */
  public record Snapshot(List<BegunAt> present, List<BegunAt> previous) {
    /** State before the first stream. */
    public static final Snapshot EMPTY = new Snapshot(List.of(), List.of());

    public Snapshot {
      present = List.copyOf(present);
      previous = List.copyOf(previous);
    }

    /** Returns whether a stream is recorded. */
    public boolean holdsStreams() {
      return !present.isEmpty() || !previous.isEmpty();
    }
  }

  /** Starts a generation; forgets the streams that were last recorded before the present one. */
  public void startGeneration() {
    previous = present;
    present = new HashMap<>();
  }

  /**
   * Records streams in the present generation; returns how many it holds. A stream keeps the origin
   * that was recorded first.
   */
  public int record(List<BegunAt> origins) {
    for (BegunAt origin : origins) {
      for (long stream : origin.streams()) {
        if (present.size() >= MAX_STREAMS) {
          startGeneration();
        }
        ServiceVersion known = previous.get(stream);
        present.putIfAbsent(stream, known == null ? origin.at() : known);
      }
    }
    return present.size();
  }

  /** Returns a snapshot of the state. */
  public Snapshot snapshot() {
    return new Snapshot(grouped(present), grouped(previous));
  }

  /** Replaces the state by a snapshot. */
  public void restore(Snapshot snapshot) {
    present = byStream(snapshot.present());
    previous = byStream(snapshot.previous());
  }

  private static List<BegunAt> grouped(Map<Long, ServiceVersion> origins) {
    Map<ServiceVersion, List<Long>> streams =
        origins.entrySet().stream()
            .collect(
                Collectors.groupingBy(
                    Map.Entry::getValue,
                    TreeMap::new,
                    Collectors.mapping(Map.Entry::getKey, Collectors.toList())));
    return streams.entrySet().stream()
        .map(entry -> new BegunAt(entry.getKey(), entry.getValue()))
        .toList();
  }

  private static Map<Long, ServiceVersion> byStream(List<BegunAt> origins) {
    Map<Long, ServiceVersion> byStream = new HashMap<>();
    origins.forEach(
        origin -> origin.streams().forEach(stream -> byStream.put(stream, origin.at())));
    return byStream;
  }
}
