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

/** Measures what a host adds to streams: from an engine directly and through a host, in turns. */
public final class OverheadBench {
  private static final int ROUNDS = 3;
  private static final int TOKENS = 200;
  private static final int ENGINES = 4;
  private static final long READY_MILLIS = 20_000;
  private static final long PATIENCE_SECONDS = 120;

  private final Consumer<String> out;
  private final int streams;
  private final HttpClient client =
      HttpClient.newBuilder().executor(Executors.newVirtualThreadPerTaskExecutor()).build();

  /**
   * Creates the benchmark.
   *
   * @param streams streams open at once
   */
  public OverheadBench(int streams, Consumer<String> out) {
    this.streams = streams;
    this.out = out;
  }

  private static final class Sample {
    final Histogram firstMicros = new Histogram(60_000_000, 3);
    final Histogram gapMicros = new Histogram(60_000_000, 3);
    final AtomicLong tokens = new AtomicLong();
    final AtomicLong broken = new AtomicLong();
    long nanos;

    synchronized void first(long micros) {
      firstMicros.recordValue(micros);
    }

    synchronized void gap(long micros) {
      gapMicros.recordValue(micros);
    }
  }

  /** Sets up a host that serves a class and a model; it is the bench's own operator. */
  public interface Setup {
    /** Configures the fleet behind the HTTP address. */
    void configure(String httpAddress) throws IOException, InterruptedException;
  }

  /** Runs everything. */
  public void run(Setup setup) throws IOException, InterruptedException {
    try (LocalFleet fleet = LocalFleet.start(1, 1)) {
      String host = fleet.httpAddresses().getFirst();
      setup.configure(host);
      fleet.awaitReady(READY_MILLIS);
      List<StandinEngine> engines = new java.util.ArrayList<>();
      for (int i = 0; i < ENGINES; i++) {
        engines.add(StandinEngine.start(options("story-" + i, fleet), new RunLog()));
      }
      Thread.sleep(2_000);
      Sample direct = new Sample();
      Sample through = new Sample();
      Sample warmUp = new Sample();
      round(warmUp, i -> host);
      round(warmUp, i -> engines.get(i % ENGINES).address());
      for (int i = 0; i < ROUNDS; i++) {
        round(direct, j -> engines.get(j % ENGINES).address());
        round(through, j -> host);
      }
      report("first token", direct.firstMicros, through.firstMicros);
      report("gap", direct.gapMicros, through.gapMicros);
      out.accept(
          "%d streams: direct %.0f tokens/s, through a host %.0f tokens/s; broken %d and %d"
              .formatted(
                  streams,
                  direct.tokens.get() * 1e9 / direct.nanos,
                  through.tokens.get() * 1e9 / through.nanos,
                  direct.broken.get(),
                  through.broken.get()));
      engines.forEach(StandinEngine::close);
    }
  }

  private static StandinOptions options(String name, LocalFleet fleet) {
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

  private void report(String name, Histogram direct, Histogram through) {
    for (double percentile : new double[] {50, 99}) {
      long before = direct.getValueAtPercentile(percentile);
      long after = through.getValueAtPercentile(percentile);
      out.accept(
          "%s p%.0f: direct %.2f ms, through a host %.2f ms, ratio %.2f"
              .formatted(name, percentile, before / 1e3, after / 1e3, (double) after / before));
    }
  }

  private void round(Sample sample, java.util.function.IntFunction<String> address)
      throws InterruptedException {
    long start = System.nanoTime();
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      for (int i = 0; i < streams; i++) {
        String target = address.apply(i);
        executor.execute(() -> stream(target, sample));
      }
      executor.shutdown();
      executor.awaitTermination(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }
    sample.nanos += System.nanoTime() - start;
  }

  private void stream(String address, Sample sample) {
    String id = UUID.randomUUID().toString();
    String body =
        "{\"model\":\"story\",\"stream\":true,\"generation_id\":\"%s\",\"prompt\":\"[[nonce=%s tokens=%d]]\"}"
            .formatted(id, id, TOKENS);
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + "/v1/completions"))
            .header("Authorization", "Bearer " + Workloads.API_KEY)
            .header("Curranthaven-Class", "draft")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    long last = System.nanoTime();
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
        long now = System.nanoTime();
        if (tokens++ == 0) {
          sample.first((now - last) / 1_000);
        } else {
          sample.gap((now - last) / 1_000);
        }
        last = now;
      }
    } catch (IOException e) {
      sample.broken.incrementAndGet();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    sample.tokens.addAndGet(tokens);
    if (tokens != TOKENS) {
      sample.broken.incrementAndGet();
    }
  }
}
