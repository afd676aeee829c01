package org.curranthaven.internal.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.curranthaven.internal.transport.wire.EngineCrash;
import org.curranthaven.internal.transport.wire.PartCrashes;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.curranthaven.internal.transport.wire.PromptPart;

/**
 * Counts crashes of engines by the parts of the prompts that may explain them, and blocks a part
 * that explains several: requests that crash engines may have one part in common and nothing else,
 * and come from any gateway. Output that continues on a part clears it. Not thread-safe.
 *
 * <pre>{@code
 * boolean blocked = evidence.recordCrash(engineId, suspects, now);
 * if (evidence.blockedMillis(request, now) > 0) {
 *   reject(request);
 * }
 * }</pre>
 */
public final class CrashEvidence {
  /**
   * Crashes that block a part. Three requests without output that share a part and crash three
   * engines, with none that outputs in between, are unlikely to be a coincidence.
   */
  static final int CRASHES_TO_BLOCK = 3;

  /** Crashes that block a part again which was blocked before. */
  private static final int CRASHES_TO_BLOCK_AGAIN = 1;

  /**
   * Time within which crashes count as one, unless a request with the part was placed in between: a
   * rack or data centre that is lost takes several engines with one cause.
   */
  static final long SAME_CAUSE_MILLIS = 100;

  /** How long a part stays blocked the first time; doubles with each further time. */
  static final long FIRST_BLOCK_MILLIS = 600_000;

  private static final int MAX_DOUBLINGS = 3;

  /** How long a crash counts, and a cleared part is remembered as cleared. */
  static final long CRASH_RETENTION_MILLIS = 600_000;

  /** How long a part that is no longer blocked is blocked again by a single crash. */
  static final long PROBATION_MILLIS = 7_200_000;

  /** Parts remembered at most; those that are blocked stay longest. */
  static final int MAX_PARTS = 256;

  /** A part of prompts for one service; another service's engines may not crash on it. */
  record PartKey(String service, String part) {}

  /** What is known of one part. */
  private static final class PartRecord {
    /** Time of each crash that the part may explain, by engine. */
    final Map<String, Long> crashMillis = new LinkedHashMap<>();

    /** Requests with the part that were to be placed since the record was created. */
    int requests;

    int blocks;
    long blockedAtMillis = NEVER;
    long blockedUntilMillis = NEVER;
    long outputMillis = NEVER;
    long changedMillis;

    boolean isBlocked(long nowMillis) {
      return nowMillis < blockedUntilMillis;
    }

    int crashesToBlock() {
      return blocks > 0 ? CRASHES_TO_BLOCK_AGAIN : CRASHES_TO_BLOCK;
    }

    /** Removes the crashes and the block that are older than the latest output. */
    void clearUntilOutput() {
      crashMillis.values().removeIf(crashedAtMillis -> crashedAtMillis <= outputMillis);
      if (blockedAtMillis <= outputMillis) {
        blockedUntilMillis = NEVER;
        blocks = 0;
      }
    }
  }

  private static final long NEVER = Long.MIN_VALUE / 4;

  private final Map<PartKey, PartRecord> records = new HashMap<>();
  private long version;

  /** Returns a number that increases when a crash is recorded, or a part is blocked or cleared. */
  public long version() {
    return version;
  }

  /** Returns the parts of a request that crashes may be attributed to. */
  static List<PartKey> attributableParts(PlacementRequest request) {
    List<PromptPart> parts = request.getPartsList();
    // The last part belongs to the request or its session alone: blocking it would save no engine
    // from other requests.
    return parts.stream()
        .limit(Math.max(0, parts.size() - 1))
        .map(part -> new PartKey(request.getService(), part.getId()))
        .toList();
  }

  // ---- events -----------------------------------------------------------------------------------

  /**
   * Records the crash of an engine.
   *
   * @param suspects parts of the requests that ran there and had not continued to output, without
   *     those on which output continues elsewhere; with the time at which the latest request with
   *     the part was placed there
   * @return whether a part has become blocked
   */
  boolean recordCrash(String engine, Map<PartKey, Long> suspects, long nowMillis) {
    expire(nowMillis);
    boolean explained =
        suspects.keySet().stream()
            .anyMatch(key -> records.containsKey(key) && records.get(key).isBlocked(nowMillis));
    if (explained) {
      return false;
    }
    suspects.forEach(
        (key, placedAtMillis) ->
            addCrash(recordOf(key, nowMillis), engine, placedAtMillis, nowMillis));
    version++;
    return blockMostSuspicious(suspects.keySet(), nowMillis);
  }

  private PartRecord recordOf(PartKey key, long nowMillis) {
    PartRecord existing = records.get(key);
    if (existing != null) {
      existing.changedMillis = nowMillis;
      return existing;
    }
    if (records.size() >= MAX_PARTS) {
      records.entrySet().stream()
          .min(
              Comparator.comparingInt(
                      (Map.Entry<PartKey, PartRecord> entry) -> entry.getValue().blocks)
                  .thenComparingInt(entry -> entry.getValue().crashMillis.size())
                  .thenComparingLong(entry -> entry.getValue().changedMillis))
          .ifPresent(entry -> records.remove(entry.getKey()));
    }
    PartRecord created = new PartRecord();
    created.changedMillis = nowMillis;
    records.put(key, created);
    return created;
  }

  private static void addCrash(
      PartRecord record, String engine, long placedAtMillis, long crashedAtMillis) {
    boolean sameCause =
        record.crashMillis.values().stream()
            .anyMatch(
                other ->
                    Math.abs(other - crashedAtMillis) < SAME_CAUSE_MILLIS
                        && placedAtMillis < other);
    if (!sameCause) {
      record.crashMillis.putIfAbsent(engine, crashedAtMillis);
    }
  }

  /**
   * Blocks those of the suspects that explain enough crashes, and the most of all; of several, the
   * one that the fewest requests have, since a part that many share meets crashes by chance. The
   * crashes that it explains no longer count against other parts.
   */
  private boolean blockMostSuspicious(Set<PartKey> suspects, long nowMillis) {
    // Of many suspects, the first ones may have been forgotten already.
    List<PartRecord> suspicious =
        suspects.stream()
            .map(records::get)
            .filter(Objects::nonNull)
            .filter(record -> record.crashMillis.size() >= record.crashesToBlock())
            .toList();
    int most = suspicious.stream().mapToInt(record -> record.crashMillis.size()).max().orElse(0);
    if (most == 0) {
      return false;
    }
    List<PartRecord> mostSuspicious =
        suspicious.stream().filter(record -> record.crashMillis.size() == most).toList();
    int fewestRequests =
        mostSuspicious.stream().mapToInt(record -> record.requests).min().orElse(0);
    List<PartRecord> blocked =
        mostSuspicious.stream().filter(record -> record.requests == fewestRequests).toList();
    for (PartRecord record : blocked) {
      Set<String> explainedEngines = Set.copyOf(record.crashMillis.keySet());
      record.blockedAtMillis = nowMillis;
      record.blockedUntilMillis =
          nowMillis + (FIRST_BLOCK_MILLIS << Math.min(record.blocks, MAX_DOUBLINGS));
      record.blocks++;
      record.crashMillis.clear();
      records.values().stream()
          .filter(other -> !blocked.contains(other))
          .forEach(other -> other.crashMillis.keySet().removeAll(explainedEngines));
    }
    return true;
  }

  /** Counts a request that is to be placed. */
  void recordRequest(PlacementRequest request) {
    if (records.isEmpty()) {
      return;
    }
    for (PartKey key : attributableParts(request)) {
      PartRecord record = records.get(key);
      if (record != null) {
        record.requests++;
      }
    }
  }

  /** Records that output continued on a request's prompt: no part of it crashes engines. */
  void recordOutput(PlacementRequest request, long nowMillis) {
    if (records.isEmpty()) {
      return;
    }
    for (PartKey key : attributableParts(request)) {
      PartRecord record = records.get(key);
      if (record == null) {
        continue;
      }
      boolean changes = !record.crashMillis.isEmpty() || record.blocks > 0;
      record.outputMillis = nowMillis;
      record.clearUntilOutput();
      version += changes ? 1 : 0;
    }
  }

  /** Removes the crash of an engine that turned out to run. */
  void removeCrash(String engine) {
    for (PartRecord record : records.values()) {
      if (record.crashMillis.remove(engine) != null) {
        version++;
      }
    }
  }

  private void expire(long nowMillis) {
    for (PartRecord record : records.values()) {
      record
          .crashMillis
          .values()
          .removeIf(crashedAtMillis -> nowMillis - crashedAtMillis > CRASH_RETENTION_MILLIS);
      if (record.blocks > 0 && nowMillis - record.blockedUntilMillis > PROBATION_MILLIS) {
        record.blocks = 0;
      }
    }
    records
        .values()
        .removeIf(
            record ->
                record.blocks == 0
                    && record.crashMillis.isEmpty()
                    && nowMillis - record.outputMillis > CRASH_RETENTION_MILLIS);
  }

  // ---- queries ----------------------------------------------------------------------------------

  /** Returns how long requests with this prompt are still blocked; 0 if they are not. */
  public long blockedMillis(PlacementRequest request, long nowMillis) {
    if (records.isEmpty()) {
      return 0;
    }
    return attributableParts(request).stream()
        .map(records::get)
        .filter(record -> record != null && record.isBlocked(nowMillis))
        .mapToLong(record -> record.blockedUntilMillis - nowMillis)
        .max()
        .orElse(0);
  }

  /** Returns the ids of the blocked parts. */
  public List<String> blockedParts(long nowMillis) {
    return records.entrySet().stream()
        .filter(entry -> entry.getValue().isBlocked(nowMillis))
        .map(entry -> entry.getKey().part())
        .sorted()
        .toList();
  }

  // ---- exchange between hosts -------------------------------------------------------------------

  /** Returns all that is known, with times as ages. */
  public List<PartCrashes> export(long nowMillis) {
    expire(nowMillis);
    List<PartCrashes> exported = new ArrayList<>();
    records.forEach((key, record) -> exported.add(export(key, record, nowMillis)));
    return exported;
  }

  private static PartCrashes export(PartKey key, PartRecord record, long nowMillis) {
    PartCrashes.Builder builder =
        PartCrashes.newBuilder()
            .setService(key.service())
            .setPart(key.part())
            .setBlocks(record.blocks)
            .setRequests(record.requests)
            .setHadOutput(record.outputMillis != NEVER);
    if (record.outputMillis != NEVER) {
      builder.setOutputAgeMillis(nowMillis - record.outputMillis);
    }
    if (record.blocks > 0) {
      builder
          .setBlockedAgeMillis(nowMillis - record.blockedAtMillis)
          .setBlockedLeftMillis(Math.max(0, record.blockedUntilMillis - nowMillis));
    }
    record.crashMillis.forEach(
        (engine, crashedAtMillis) ->
            builder.addCrashes(
                EngineCrash.newBuilder()
                    .setBackend(engine)
                    .setAgeMillis(nowMillis - crashedAtMillis)));
    return builder.build();
  }

  /** Adds what another host knows. The latest output and the latest block of a part prevail. */
  public void merge(Collection<PartCrashes> others, long nowMillis) {
    version += others.isEmpty() ? 0 : 1;
    for (PartCrashes other : others) {
      merge(
          recordOf(new PartKey(other.getService(), other.getPart()), nowMillis), other, nowMillis);
    }
  }

  private static void merge(PartRecord record, PartCrashes other, long nowMillis) {
    record.requests = Math.max(record.requests, other.getRequests());
    if (other.getHadOutput()) {
      record.outputMillis = Math.max(record.outputMillis, nowMillis - other.getOutputAgeMillis());
    }
    long blockedAtMillis = nowMillis - other.getBlockedAgeMillis();
    if (other.getBlocks() > 0 && blockedAtMillis > record.blockedAtMillis) {
      record.blockedAtMillis = blockedAtMillis;
      record.blockedUntilMillis = nowMillis + other.getBlockedLeftMillis();
      record.blocks = Math.max(record.blocks, other.getBlocks());
    }
    // A block has used up the crashes before it.
    for (EngineCrash crash : other.getCrashesList()) {
      long crashedAtMillis = nowMillis - crash.getAgeMillis();
      if (crashedAtMillis > record.blockedAtMillis) {
        addCrash(record, crash.getBackend(), NEVER, crashedAtMillis);
      }
    }
    record.crashMillis.values().removeIf(crashMillis -> crashMillis <= record.blockedAtMillis);
    record.clearUntilOutput();
  }
}
