package org.curranthaven.internal.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.curranthaven.internal.dispatch.CrashEvidence;
import org.curranthaven.internal.dispatch.DispatchCore;
import org.curranthaven.internal.dispatch.RequestId;
import org.curranthaven.internal.dispatch.RequestRateLimits;
import org.curranthaven.internal.dispatch.RestTimes;
import org.curranthaven.internal.dispatch.RetryLimits;
import org.curranthaven.internal.dispatch.SharedKnowledge;
import org.curranthaven.internal.dispatch.StreamOrigins;
import org.curranthaven.internal.relay.RequestFingerprint;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.curranthaven.internal.transport.wire.PromptPart;
import org.curranthaven.internal.transport.wire.RunningDispatch;
import org.curranthaven.internal.transport.wire.SuspectRecord;

/** Measures what crashes of engines cost the scheduler, and the size of what hosts exchange. */
public final class CrashesBench {
  private static final int[] ENGINE_COUNTS = {13, 90, 270, 810};
  private static final int[] PART_COUNTS = {16, 64, 256};
  private static final int[] BODY_KILOBYTES = {0, 1, 10, 100, 1_000};
  private static final int FINGERPRINTS = 200;
  private static final int REQUESTS_PER_ENGINE = 20;
  private static final int CRASHES = 10;
  private static final int REPEATS = 5;
  private static final String SERVICE = "engines";
  private static final RetryLimits RETRY_LIMITS = new RetryLimits(0.2, 100, 10_000);
  private static final int BYTES_PER_KILOBYTE = 1_000;
  private static final double NANOS_PER_MICRO = 1e3;

  private final Consumer<String> out;

  /** Creates the benchmark; each line of its report goes to {@code out}. */
  public CrashesBench(Consumer<String> out) {
    this.out = out;
  }

  /** Runs all measurements. */
  public void run() {
    crashMicros(ENGINE_COUNTS[0]);
    List<LineFit.Point> micros = new ArrayList<>();
    for (int engines : ENGINE_COUNTS) {
      micros.add(new LineFit.Point(engines, crashMicros(engines)));
    }
    report("crash of an engine, by engines", "us", micros);
    List<LineFit.Point> bytes = new ArrayList<>();
    for (int parts : PART_COUNTS) {
      bytes.add(new LineFit.Point(parts, evidenceBytes(parts)));
    }
    report("evidence on the wire, by parts", "bytes", bytes);
    List<LineFit.Point> fingerprintMicros = new ArrayList<>();
    for (int kilobytes : BODY_KILOBYTES) {
      fingerprintMicros.add(new LineFit.Point(kilobytes, fingerprintMicros(kilobytes)));
    }
    report("fingerprint of a request, by kB", "us", fingerprintMicros);
  }

  private void report(String name, String unit, List<LineFit.Point> points) {
    LineFit fit = LineFit.of(points);
    out.accept(
        "%-34s %-6s %s | base %.1f slope %.3f error %.0f%%"
            .formatted(
                name,
                unit,
                points.stream().map(p -> "%.0f:%.1f".formatted(p.size(), p.value())).toList(),
                fit.intercept(),
                fit.slope(),
                100 * fit.maxRelativeError()));
  }

  /** Returns the shortest mean time in which the scheduler handles a crash. */
  private static double crashMicros(int engines) {
    double bestMicros = Double.MAX_VALUE;
    for (int repeat = 0; repeat < REPEATS; repeat++) {
      DispatchCore core = newCore(engines, new CrashEvidence());
      long startNanos = System.nanoTime();
      for (int i = 0; i < CRASHES; i++) {
        core.backendCrashed("engine-" + i, 1_000L * (i + 1));
      }
      double micros = (System.nanoTime() - startNanos) / NANOS_PER_MICRO / CRASHES;
      bestMicros = Math.min(bestMicros, micros);
    }
    return bestMicros;
  }

  /** Returns the shortest mean time that the fingerprint of a request takes. */
  private static double fingerprintMicros(int kilobytes) {
    byte[] body = new byte[kilobytes * BYTES_PER_KILOBYTE];
    double bestMicros = Double.MAX_VALUE;
    for (int repeat = 0; repeat < REPEATS; repeat++) {
      long startNanos = System.nanoTime();
      for (int i = 0; i < FINGERPRINTS; i++) {
        body = body.length == 0 ? body : varied(body, i);
        RequestFingerprint.of("POST", "/stories/" + i, body);
      }
      double micros = (System.nanoTime() - startNanos) / NANOS_PER_MICRO / FINGERPRINTS;
      bestMicros = Math.min(bestMicros, micros);
    }
    return bestMicros;
  }

  private static byte[] varied(byte[] body, int value) {
    body[0] = (byte) value;
    return body;
  }

  /** Returns a core with engines that run requests of which half have no output yet. */
  private static DispatchCore newCore(int engines, CrashEvidence evidence) {
    DispatchCore core =
        new DispatchCore(
            RETRY_LIMITS,
            1,
            new SplittableRandom(1),
            Set.of(),
            new SharedKnowledge(
                evidence, RequestRateLimits.ofScheduler(), new StreamOrigins(), new RestTimes()));
    long nextId = 1;
    for (int i = 0; i < engines; i++) {
      String engine = "engine-" + i;
      core.updateBackend(
          BackendRecord.newBuilder().setId(engine).setService(SERVICE).setSlots(24).build(), 0);
      for (int j = 0; j < REQUESTS_PER_ENGINE; j++) {
        long id = nextId++;
        PlacementRequest request = request(id, "first" + j % 4, "subject" + id % 500, "own" + id);
        core.restoreRunning(
            new RequestId("gateway", id),
            RunningDispatch.newBuilder()
                .setAsk(request)
                .setBackend(engine)
                .setOutputTokens(j % 2 == 0 ? 0 : 40)
                .build(),
            0);
      }
    }
    return core;
  }

  private static PlacementRequest request(long id, String... parts) {
    PlacementRequest.Builder request =
        PlacementRequest.newBuilder().setId(id).setService(SERVICE).setEngine(true);
    for (String part : parts) {
      request.addParts(PromptPart.newBuilder().setId(part).setTokens(100));
    }
    return request.build();
  }

  /** Returns the size of the evidence on a number of parts with one crash each. */
  private static double evidenceBytes(int parts) {
    CrashEvidence evidence = new CrashEvidence();
    DispatchCore core =
        new DispatchCore(
            RETRY_LIMITS,
            1,
            new SplittableRandom(1),
            Set.of(),
            new SharedKnowledge(
                evidence, RequestRateLimits.ofScheduler(), new StreamOrigins(), new RestTimes()));
    for (int i = 0; i < parts; i++) {
      String engine = "i-%010x".formatted(i);
      core.updateBackend(
          BackendRecord.newBuilder().setId(engine).setService(SERVICE).setSlots(24).build(), 0);
      core.restoreRunning(
          new RequestId("gateway", i),
          RunningDispatch.newBuilder()
              .setAsk(request(i, "%08x".formatted(i), "own"))
              .setBackend(engine)
              .build(),
          0);
      core.backendCrashed(engine, 1_000L * (i + 1));
    }
    return evidence.export(1_000L * parts).stream()
        .mapToInt(SuspectRecord::getSerializedSize)
        .sum();
  }
}
