package org.curranthaven.internal.bench;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.curranthaven.internal.membership.BackendAnnouncement;
import org.curranthaven.internal.standin.EngineOptions;
import org.curranthaven.internal.standin.LocalFleet;
import org.curranthaven.internal.standin.RunLog;
import org.curranthaven.internal.standin.StandinEngine;
import org.curranthaven.internal.standin.StandinOptions;
import org.curranthaven.internal.standin.Workloads;

/**
 * Measures the latency that a host adds to streams. Rounds of streams directly from engines
 * alternate with rounds through a host.
 */
public final class OverheadBench {
  private static final int ROUNDS = 3;
  private static final int TOKENS_PER_STREAM = 200;
  private static final int ENGINES = 4;
  private static final long READY_TIMEOUT_MILLIS = 20_000;
  private static final long REGISTRATION_DELAY_MILLIS = 2_000;
  private static final long ROUND_TIMEOUT_SECONDS = 120;

  private final Consumer<String> out;
  private final int streams;
  private final HttpClient client =
      HttpClient.newBuilder().executor(Executors.newVirtualThreadPerTaskExecutor()).build();

  /**
   * Creates the benchmark.
   *
   * @param streams number of concurrent streams
   * @param out receives each line of the report
   */
  public OverheadBench(int streams, Consumer<String> out) {
    this.streams = streams;
    this.out = out;
  }

  /** Measurements of one or more rounds; streams record values under the lock of this object. */
  private static final class Sample {
    final Histogram firstTokenMicros = new Histogram(60_000_000, 3);
    final Histogram gapMicros = new Histogram(60_000_000, 3);
    final AtomicLong tokens = new AtomicLong();
    final AtomicLong failures = new AtomicLong();
    long elapsedNanos;

    synchronized void recordFirstToken(long micros) {
      firstTokenMicros.recordValue(micros);
    }

    synchronized void recordGap(long micros) {
      gapMicros.recordValue(micros);
    }
  }

  /** Configures the host that the benchmark starts, in place of an operator. */
  public interface FleetSetup {
    /** Configures the classes, models and workspace of the load at the HTTP address of a host. */
    void configure(String httpAddress) throws IOException, InterruptedException;
  }

  /** Runs the benchmark. */
  public void run(FleetSetup setup) throws IOException, InterruptedException {
    try (LocalFleet fleet = LocalFleet.start(1, 1)) {
      String host = fleet.httpAddresses().getFirst();
      setup.configure(host);
      fleet.awaitReady(READY_TIMEOUT_MILLIS);
      List<StandinEngine> engines = new java.util.ArrayList<>();
      for (int i = 0; i < ENGINES; i++) {
        engines.add(StandinEngine.start(engineOptions("story-" + i, fleet), new RunLog()));
      }
      Thread.sleep(REGISTRATION_DELAY_MILLIS);
      Sample direct = new Sample();
      Sample viaHost = new Sample();
      Sample warmUp = new Sample();
      runRound(warmUp, i -> host);
      runRound(warmUp, i -> engines.get(i % ENGINES).address());
      for (int i = 0; i < ROUNDS; i++) {
        runRound(direct, j -> engines.get(j % ENGINES).address());
        runRound(viaHost, j -> host);
      }
      reportPercentiles("first token", direct.firstTokenMicros, viaHost.firstTokenMicros);
      reportPercentiles("gap", direct.gapMicros, viaHost.gapMicros);
      out.accept(
          "%d streams: direct %.0f tokens/s, through a host %.0f tokens/s; failures %d and %d"
              .formatted(
                  streams,
                  direct.tokens.get() * 1e9 / direct.elapsedNanos,
                  viaHost.tokens.get() * 1e9 / viaHost.elapsedNanos,
                  direct.failures.get(),
                  viaHost.failures.get()));
      engines.forEach(StandinEngine::close);
    }
  }

  private static StandinOptions engineOptions(String name, LocalFleet fleet) {
    return new StandinOptions(
        name,
        "a",
        0,
        fleet.httpAddresses(),
        Workloads.STORY_MODEL,
        new EngineOptions(200_000, 4_096, 30_000, 1, 1, 1_000_000, 64, 64, true),
        BackendAnnouncement.Resume.TAKEOVER,
        true);
  }

  private void reportPercentiles(String name, Histogram direct, Histogram viaHost) {
    for (double percentile : new double[] {50, 99}) {
      long directMicros = direct.getValueAtPercentile(percentile);
      long viaHostMicros = viaHost.getValueAtPercentile(percentile);
      out.accept(
          "%s p%.0f: direct %.2f ms, through a host %.2f ms, ratio %.2f"
              .formatted(
                  name,
                  percentile,
                  directMicros / 1e3,
                  viaHostMicros / 1e3,
                  (double) viaHostMicros / directMicros));
    }
  }

  /**
   * Runs all streams concurrently.
   *
   * @param addressOf returns the address for the stream with an index
   */
  private void runRound(Sample sample, java.util.function.IntFunction<String> addressOf)
      throws InterruptedException {
    long startNanos = System.nanoTime();
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      for (int i = 0; i < streams; i++) {
        String address = addressOf.apply(i);
        executor.execute(() -> readStream(address, sample));
      }
      executor.shutdown();
      executor.awaitTermination(ROUND_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
    sample.elapsedNanos += System.nanoTime() - startNanos;
  }

  /** Sends one request and records the time of each token. */
  private void readStream(String address, Sample sample) {
    String id = UUID.randomUUID().toString();
    String body =
        "{\"model\":\"story\",\"stream\":true,\"generation_id\":\"%s\",\"prompt\":\"[[nonce=%s tokens=%d]]\"}"
            .formatted(id, id, TOKENS_PER_STREAM);
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + "/v1/completions"))
            .header("Authorization", "Bearer " + Workloads.API_KEY)
            .header("Curranthaven-Class", "draft")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    long previousNanos = System.nanoTime();
    int tokens = 0;
    try (BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(
                client.send(request, HttpResponse.BodyHandlers.ofInputStream()).body(),
                StandardCharsets.UTF_8))) {
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        if (!line.startsWith("data: {")) {
          continue;
        }
        long nowNanos = System.nanoTime();
        if (tokens++ == 0) {
          sample.recordFirstToken((nowNanos - previousNanos) / 1_000);
        } else {
          sample.recordGap((nowNanos - previousNanos) / 1_000);
        }
        previousNanos = nowNanos;
      }
    } catch (IOException e) {
      sample.failures.incrementAndGet();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    sample.tokens.addAndGet(tokens);
    if (tokens != TOKENS_PER_STREAM) {
      sample.failures.incrementAndGet();
    }
  }
}
