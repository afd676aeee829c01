package org.curranthaven.internal.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.curranthaven.internal.supervision.LineLimit;
import org.curranthaven.internal.transport.wire.PlacementRequest;

/**
 * By what the software versions of streams that callers take up were decided, as lines to be
 * logged. Not thread-safe.
 */
final class VersionDecisions {
  /** Lines kept for each second; resumptions beyond them are only counted. */
  static final int MAX_LINES_PER_SECOND = 20;

  private static final long SECOND_MILLIS = 1_000;

  private List<String> lines = new ArrayList<>();
  private final LineLimit limit = new LineLimit(MAX_LINES_PER_SECOND, SECOND_MILLIS);

  /** Records a decision by the recorded origin of the stream. */
  void recordByOrigin(PlacementRequest request, String version, long ageMillis, long nowMillis) {
    add(
        describe(request)
            + ": software version \""
            + version
            + "\", by its recorded origin with the latest output "
            + ageMillis
            + " ms ago",
        nowMillis);
  }

  /** Records a decision by the only version that can have begun the stream. */
  void recordByOnlyVersion(PlacementRequest request, String version, long nowMillis) {
    add(
        describe(request)
            + ": software version \""
            + version
            + "\", the only one that has served lately; its origin is unknown",
        nowMillis);
  }

  /** Records that nothing tells the version. */
  void recordUnknown(PlacementRequest request, String reason, long nowMillis) {
    add(describe(request) + ": no software version: " + reason, nowMillis);
  }

  private static String describe(PlacementRequest request) {
    return "resumption of stream %016x of service %s (placement request %d)"
        .formatted(request.getResumedStream(), request.getService(), request.getId());
  }

  private void add(String line, long nowMillis) {
    if (!limit.mayWrite(nowMillis)) {
      return;
    }
    long omitted = limit.takeOmitted();
    if (omitted > 0) {
      lines.add(omitted + " more resumptions of streams were decided and not logged");
    }
    lines.add(line);
  }

  /** Returns and clears the lines. */
  List<String> drain() {
    if (lines.isEmpty()) {
      return List.of();
    }
    List<String> drained = lines;
    lines = new ArrayList<>();
    return drained;
  }
}
