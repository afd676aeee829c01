package org.curranthaven.internal.dispatch;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.ColdStart;
import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.catalog.RequestLimits;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.PlacementRequest;

/** Cores, services and backend servers for tests of cold servers. */
final class ColdFixture {
  static final double COLD_PER_SECOND = 24;

  /** Bound at an excess of 1.5 and a slack of 5. */
  static final long BOUND = 41;

  static final long WINDOW_MILLIS = 1_000;
  static final long LONG_COLD_MILLIS = 60_000;

  static DispatchCore newCore(int capacityShares, RequestRateLimits limits, long seed) {
    DispatchCore core =
        new DispatchCore(
            new RetryLimits(0.2, 10, 10_000),
            capacityShares,
            new SplittableRandom(seed),
            Set.of(),
            new SharedKnowledge(new CrashEvidence(), limits, new StreamOrigins(), new RestTimes()));
    core.setCatalog(catalog(new ColdStart(1, COLD_PER_SECOND)));
    return core;
  }

  static Catalog catalog(ColdStart coldStart) {
    EngineCapabilities engine = new EngineCapabilities(24, 27_064, 4, true, true);
    return new Catalog(
        1,
        List.of(),
        List.of(
            new ServiceSpec("plain", 100, null, coldStart),
            new ServiceSpec("engines", 100, engine, coldStart),
            new ServiceSpec("other", 100, null)),
        RequestLimits.standard(),
        null);
  }

  static BackendRecord backend(String id, String service, long coldLeftMillis) {
    return BackendRecord.newBuilder()
        .setId(id)
        .setService(service)
        .setSlots(200)
        .setDataCentre("a")
        .setColdLeftMillis(coldLeftMillis)
        .build();
  }

  static PlacementRequest.Builder request(String service) {
    return PlacementRequest.newBuilder()
        .setService(service)
        .setTargetLeftMillis(400)
        .setDeadlineLeftMillis(3_000);
  }

  static long mostInWindow(List<Long> timesMillis) {
    List<Long> sorted = timesMillis.stream().sorted().toList();
    long most = 0;
    int first = 0;
    for (int last = 0; last < sorted.size(); last++) {
      while (sorted.get(last) - sorted.get(first) >= WINDOW_MILLIS) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  /** Returns the registration of an engine. */
  static BackendRecord engine(int number, long coldLeftMillis) {
    return backend("i-" + number, "engines", coldLeftMillis).toBuilder().setSlots(24).build();
  }

  private ColdFixture() {}
}
