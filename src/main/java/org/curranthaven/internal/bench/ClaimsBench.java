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

/** Measures claims a second through three voters against synced writes a second of the disk. */
public final class ClaimsBench {
  private static final int CALLERS = 128;
  private static final int CLAIMS = 12_000;
  private static final int LATENCY_CLAIMS = 500;
  private static final int SYNCED_WRITES = 500;
  private static final long READY_TIMEOUT_MILLIS = 20_000;

  private final Consumer<String> out;

  /** Creates the benchmark; each line of its report goes to {@code out}. */
  public ClaimsBench(Consumer<String> out) {
    this.out = out;
  }

  /** Runs everything. */
  public void run() throws IOException, InterruptedException {
    double syncsPerSecond = syncedWritesPerSecond();
    out.accept("synced writes of 256 bytes a second: %.0f".formatted(syncsPerSecond));
    try (LocalFleet fleet = LocalFleet.start(3, 3)) {
      Ledger ledger = fleet.host(0).ledger();
      boolean led =
          LocalFleet.await(
              READY_TIMEOUT_MILLIS, () -> claimOnce(ledger) instanceof Outcome.Success);
      if (!led) {
        throw new IOException("the ledger groups have no leader");
      }
      // The groups' voters and the code's compilation settle first.
      measureThroughput(ledger, CLAIMS / 4);
      Thread.sleep(2_000);
      measureLatency(ledger);
      double claims = measureThroughput(ledger, CLAIMS);
      out.accept(
          "claims a second, %d callers, 3 voters: %.0f, %.2f times the synced writes"
              .formatted(CALLERS, claims, claims / syncsPerSecond));
    }
  }

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
    long[] micros = new long[LATENCY_CLAIMS];
    for (int i = 0; i < LATENCY_CLAIMS; i++) {
      long start = System.nanoTime();
      claimOnce(ledger);
      micros[i] = (System.nanoTime() - start) / 1_000;
    }
    Arrays.sort(micros);
    out.accept(
        "claim latency, one caller: p50 %d us, p99 %d us"
            .formatted(micros[LATENCY_CLAIMS / 2], micros[(int) (LATENCY_CLAIMS * 0.99)]));
  }

  private double measureThroughput(Ledger ledger, int claims) throws InterruptedException {
    AtomicLong failed = new AtomicLong();
    AtomicLongArray nanos = new AtomicLongArray(claims);
    AtomicLong next = new AtomicLong();
    long start = System.nanoTime();
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      for (int caller = 0; caller < CALLERS; caller++) {
        executor.execute(
            () -> {
              for (long i = next.getAndIncrement(); i < claims; i = next.getAndIncrement()) {
                long begun = System.nanoTime();
                if (claimOnce(ledger) instanceof Outcome.Failed) {
                  failed.incrementAndGet();
                }
                nanos.set((int) i, System.nanoTime() - begun);
              }
            });
      }
      executor.shutdown();
      executor.awaitTermination(2, TimeUnit.MINUTES);
    }
    double seconds = (System.nanoTime() - start) / 1e9;
    long[] sorted = new long[claims];
    for (int i = 0; i < claims; i++) {
      sorted[i] = nanos.get(i) / 1_000;
    }
    Arrays.sort(sorted);
    out.accept(
        "%d claims by %d callers: p50 %d us, p99 %d us, %d failed"
            .formatted(
                claims, CALLERS, sorted[claims / 2], sorted[(int) (claims * 0.99)], failed.get()));
    return claims / seconds;
  }

  private static double syncedWritesPerSecond() throws IOException {
    Path file = Files.createTempFile("curranthaven-", ".sync");
    try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
      long start = System.nanoTime();
      for (int i = 0; i < SYNCED_WRITES; i++) {
        channel.write(ByteBuffer.allocate(256));
        channel.force(false);
      }
      return SYNCED_WRITES * 1e9 / (System.nanoTime() - start);
    } finally {
      Files.delete(file);
    }
  }
}
