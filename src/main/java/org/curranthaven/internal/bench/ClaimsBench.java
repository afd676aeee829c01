package org.curranthaven.internal.bench;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.Consumer;
import org.curranthaven.api.Outcome;
import org.curranthaven.internal.ledger.Ledger;
import org.curranthaven.internal.standin.LocalFleet;

/**
 * Compares the ledger claims per second through three voters with the synced writes per second of
 * the disk.
 */
public final class ClaimsBench {
  private static final int CALLERS = 128;
  private static final int CLAIMS = 12_000;
  private static final int LATENCY_CLAIMS = 500;
  private static final int SYNCED_WRITES = 500;
  private static final int WRITE_BYTES = 256;
  private static final int WARM_UP_CLAIMS = CLAIMS / 4;
  private static final long WARM_UP_DELAY_MILLIS = 2_000;
  private static final long READY_TIMEOUT_MILLIS = 20_000;

  private final Consumer<String> out;

  /** Creates the benchmark; each line of its report goes to {@code out}. */
  public ClaimsBench(Consumer<String> out) {
    this.out = out;
  }

  /** Runs the benchmark. */
  public void run() throws IOException, InterruptedException {
    double syncedWritesPerSecond = syncedWritesPerSecond();
    out.accept(
        "synced writes of %d bytes per second: %.0f".formatted(WRITE_BYTES, syncedWritesPerSecond));
    try (LocalFleet fleet = LocalFleet.start(3, 3)) {
      Ledger ledger = fleet.host(0).ledger();
      boolean hasLeader =
          LocalFleet.await(
              READY_TIMEOUT_MILLIS, () -> claimOnce(ledger) instanceof Outcome.Success);
      if (!hasLeader) {
        throw new IOException(
            "a ledger group has no leader after "
                + READY_TIMEOUT_MILLIS
                + " ms; try again when the machine is less busy");
      }
      // Warm-up: lets the groups complete their voters and the JVM compile the code.
      measureThroughput(ledger, WARM_UP_CLAIMS);
      Thread.sleep(WARM_UP_DELAY_MILLIS);
      measureLatency(ledger);
      double claimsPerSecond = measureThroughput(ledger, CLAIMS);
      out.accept(
          "claims per second, %d callers, 3 voters: %.0f, %.2f times the synced writes"
              .formatted(CALLERS, claimsPerSecond, claimsPerSecond / syncedWritesPerSecond));
    }
  }

  /** Claims a new random key. */
  private static Outcome<Ledger.Claim> claimOnce(Ledger ledger) {
    String key = UUID.randomUUID().toString();
    try {
      return ledger.claim(
          new Ledger.ClaimRequest(
              "w" + key.charAt(0), key, System.currentTimeMillis(), ByteString.EMPTY, key));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  private void measureLatency(Ledger ledger) {
    long[] latencyMicros = new long[LATENCY_CLAIMS];
    for (int i = 0; i < LATENCY_CLAIMS; i++) {
      long startNanos = System.nanoTime();
      claimOnce(ledger);
      latencyMicros[i] = (System.nanoTime() - startNanos) / 1_000;
    }
    Arrays.sort(latencyMicros);
    out.accept(
        "claim latency, one caller: p50 %d us, p99 %d us"
            .formatted(
                latencyMicros[LATENCY_CLAIMS / 2], latencyMicros[(int) (LATENCY_CLAIMS * 0.99)]));
  }

  /** Returns the claims per second of concurrent callers, and reports their latencies. */
  private double measureThroughput(Ledger ledger, int claims) throws InterruptedException {
    AtomicLong failed = new AtomicLong();
    AtomicLongArray latencyNanos = new AtomicLongArray(claims);
    AtomicLong nextClaim = new AtomicLong();
    long startNanos = System.nanoTime();
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      for (int caller = 0; caller < CALLERS; caller++) {
        executor.execute(
            () -> {
              for (long i = nextClaim.getAndIncrement();
                  i < claims;
                  i = nextClaim.getAndIncrement()) {
                long claimStartNanos = System.nanoTime();
                if (claimOnce(ledger) instanceof Outcome.Failed) {
                  failed.incrementAndGet();
                }
                latencyNanos.set((int) i, System.nanoTime() - claimStartNanos);
              }
            });
      }
      executor.shutdown();
      executor.awaitTermination(2, TimeUnit.MINUTES);
    }
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    long[] sortedMicros = new long[claims];
    for (int i = 0; i < claims; i++) {
      sortedMicros[i] = latencyNanos.get(i) / 1_000;
    }
    Arrays.sort(sortedMicros);
    out.accept(
        "%d claims by %d callers: p50 %d us, p99 %d us, %d failed"
            .formatted(
                claims,
                CALLERS,
                sortedMicros[claims / 2],
                sortedMicros[(int) (claims * 0.99)],
                failed.get()));
    return claims / seconds;
  }

  private static double syncedWritesPerSecond() throws IOException {
    Path file = Files.createTempFile("curranthaven-", ".sync");
    try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
      long startNanos = System.nanoTime();
      for (int i = 0; i < SYNCED_WRITES; i++) {
        channel.write(ByteBuffer.allocate(WRITE_BYTES));
        channel.force(false);
      }
      return SYNCED_WRITES * 1e9 / (System.nanoTime() - startNanos);
    } finally {
      Files.delete(file);
    }
  }
}
