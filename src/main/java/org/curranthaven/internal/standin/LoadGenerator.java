package org.curranthaven.internal.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.curranthaven.api.ServiceClass;
import org.curranthaven.internal.settings.Json;
import org.jspecify.annotations.Nullable;

/**
 * Sends requests as callers do and checks every response. Arrival times and output lengths come
 * from a seeded random generator. A request that is not repeatable carries an idempotency key and
 * is retried with the same key when no response arrives; other requests are never retried.
 * Thread-safe.
 */
public final class LoadGenerator implements AutoCloseable {
  /** Longest output requested, in tokens, so that a run ends soon after its last request. */
  private static final int MAX_OUTPUT_TOKENS = 1_000;

  private static final int MAX_ATTEMPTS = 6;
  private static final long RETRY_DELAY_MILLIS = 200;
  private static final int STATUS_OK = 200;
  private static final int CHARS_PER_TOKEN = 4;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(60);

  private final List<RequestKind> requestKinds;
  private final LoadBalancer balancer;
  private final RunLog runLog;
  private final GuaranteeViolations violations = new GuaranteeViolations();
  private final Map<String, ClassStatistics> classes = new TreeMap<>();
  private final Map<String, ServiceClass> serviceClasses = new HashMap<>();
  private final Set<String> hostsStoppedAsPlanned = ConcurrentHashMap.newKeySet();
  private final Map<String, Boolean> noncesWithIdempotencyKey = new ConcurrentHashMap<>();
  private final Set<String> noncesReportedNotRun = ConcurrentHashMap.newKeySet();
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .executor(Executors.newVirtualThreadPerTaskExecutor())
          .build();
  private final AtomicInteger openRequestCount = new AtomicInteger();
  private final AtomicInteger sentRequestCount = new AtomicInteger();

  /** Creates a generator of requests of the given kinds. */
  public LoadGenerator(
      List<RequestKind> requestKinds,
      List<ServiceClass> classes,
      LoadBalancer balancer,
      RunLog runLog) {
    this.requestKinds = List.copyOf(requestKinds);
    this.balancer = balancer;
    this.runLog = runLog;
    for (ServiceClass serviceClass : classes) {
      this.classes.put(serviceClass.name(), new ClassStatistics(serviceClass.targets()));
      serviceClasses.put(serviceClass.name(), serviceClass);
    }
  }

  /**
   * Sends requests with exponentially distributed intervals; returns once the last one is sent.
   *
   * @param millis how long to send requests
   * @param requestsPerSecond mean rate
   * @param seed seed of arrival times, request kinds and output lengths
   */
  public void sendRequests(long millis, double requestsPerSecond, long seed)
      throws InterruptedException {
    SplittableRandom random = new SplittableRandom(seed);
    double totalWeight = requestKinds.stream().mapToDouble(RequestKind::weight).sum();
    long startNanos = System.nanoTime();
    double dueMillis = 0;
    while (true) {
      dueMillis += -StrictMath.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond;
      if (dueMillis >= millis) {
        return;
      }
      long aheadMillis = (long) dueMillis - (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
      if (aheadMillis > 0) {
        Thread.sleep(aheadMillis);
      }
      RequestKind kind = drawRequestKind(random, totalWeight);
      SplittableRandom requestRandom = random.split();
      openRequestCount.incrementAndGet();
      sentRequestCount.incrementAndGet();
      executor.execute(() -> send(kind, requestRandom));
    }
  }

  /** Waits until every request has ended; returns the number still open after the timeout. */
  public int awaitCompletion(long timeoutMillis) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + timeoutMillis * NANOS_PER_MILLI;
    while (openRequestCount.get() > 0 && System.nanoTime() < deadlineNanos) {
      Thread.sleep(10);
    }
    return openRequestCount.get();
  }

  /** Returns the number of requests that have not ended. */
  public int openRequestCount() {
    return openRequestCount.get();
  }

  /** Returns the number of requests sent. */
  public int sentRequestCount() {
    return sentRequestCount.get();
  }

  /** Records that a host, given by its HTTP address, is being stopped as planned. */
  public void recordPlannedStop(String host) {
    hostsStoppedAsPlanned.add(host);
  }

  /** Returns the statistics of each service class, by class name. */
  public Map<String, ClassStatistics.Summary> classes() {
    Map<String, ClassStatistics.Summary> result = new TreeMap<>();
    classes.forEach((name, statistics) -> result.put(name, statistics.summary()));
    return result;
  }

  /** Returns the violations of guarantees; to be called after the last request has ended. */
  public GuaranteeViolations.Counts violations() {
    GuaranteeViolations fromRunLog = new GuaranteeViolations();
    noncesWithIdempotencyKey.keySet().stream()
        .filter(nonce -> runLog.startCount(nonce) > 1)
        .forEach(nonce -> fromRunLog.doubleRuns.incrementAndGet());
    noncesReportedNotRun.stream()
        .filter(nonce -> runLog.startCount(nonce) > 0)
        .forEach(nonce -> fromRunLog.falseNotRun.incrementAndGet());
    GuaranteeViolations.Counts observed = violations.counts();
    return new GuaranteeViolations.Counts(
        observed.tokensLost(),
        observed.tokensRepeated(),
        observed.tokensOutOfOrder(),
        observed.generationsSpliced(),
        observed.answersCrossed(),
        fromRunLog.doubleRuns.get(),
        observed.falseNotRun() + fromRunLog.falseNotRun.get(),
        observed.cutOffByPlannedStop());
  }

  private RequestKind drawRequestKind(SplittableRandom random, double totalWeight) {
    double point = random.nextDouble() * totalWeight;
    for (RequestKind kind : requestKinds) {
      point -= kind.weight();
      if (point < 0) {
        return kind;
      }
    }
    return requestKinds.getLast();
  }

  // ---- sending ----------------------------------------------------------------------------------

  private void send(RequestKind kind, SplittableRandom random) {
    ClassStatistics statistics = statisticsOf(kind);
    statistics.recordSent();
    try {
      if (kind.plainService()) {
        sendToPlainService(kind, random);
      } else if (kind.streamed()) {
        sendStreamed(kind, random);
      } else {
        sendNonStreamed(kind, random);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      openRequestCount.decrementAndGet();
    }
  }

  private ClassStatistics statisticsOf(RequestKind kind) {
    ClassStatistics statistics = classes.get(kind.className());
    if (statistics == null) {
      throw new IllegalArgumentException(
          "the load has no service class named "
              + kind.className()
              + "; add it to the classes given to the load generator");
    }
    return statistics;
  }

  private boolean isRepeatable(RequestKind kind) {
    ServiceClass serviceClass = serviceClasses.get(kind.className());
    return serviceClass == null || serviceClass.repeatable();
  }

  private static int drawOutputTokens(RequestKind kind, SplittableRandom random) {
    return Math.min(MAX_OUTPUT_TOKENS, kind.drawOutputTokens(random));
  }

  private static String drawNonce(SplittableRandom random) {
    return new UUID(random.nextLong(), random.nextLong()).toString();
  }

  /** Returns a UUID of version 7, which contains the current time. */
  private static String drawIdempotencyKey(SplittableRandom random) {
    long high = (System.currentTimeMillis() << 16) | 0x7000L | random.nextInt(0x1000);
    return new UUID(high, 0x8000_0000_0000_0000L | (random.nextLong() >>> 2)).toString();
  }

  private HttpRequest.Builder requestBuilder(
      String host, RequestKind kind, String path, String body) {
    return HttpRequest.newBuilder(URI.create("http://" + host + path))
        .timeout(REQUEST_TIMEOUT)
        .header("Authorization", "Bearer " + Workloads.API_KEY)
        .header("Curranthaven-Class", kind.className())
        .header("Content-Type", "application/json")
        .POST(HttpRequest.BodyPublishers.ofString(body));
  }

  private static String completionBody(RequestKind kind, PromptTag tag) {
    String filler = "x".repeat(kind.promptTokens() * CHARS_PER_TOKEN);
    ObjectNode body = Json.MAPPER.createObjectNode();
    body.put("model", kind.target());
    body.put("stream", kind.streamed());
    body.putArray("messages").addObject().put("role", "user").put("content", filler + tag.asText());
    return Json.text(body);
  }

  private void sendStreamed(RequestKind kind, SplittableRandom random) throws InterruptedException {
    PromptTag tag = new PromptTag(drawNonce(random), drawOutputTokens(kind, random));
    String host = balancer.chooseHost(random);
    HttpRequest request =
        requestBuilder(host, kind, "/v1/chat/completions", completionBody(kind, tag)).build();
    long startNanos = System.nanoTime();
    try {
      HttpResponse<InputStream> response =
          client.send(request, HttpResponse.BodyHandlers.ofInputStream());
      if (response.statusCode() == STATUS_OK) {
        readStream(kind, tag, host, response.body(), startNanos);
      } else {
        recordFailure(
            kind, tag.nonce(), new String(response.body().readAllBytes(), StandardCharsets.UTF_8));
      }
    } catch (IOException e) {
      recordConnectionLoss(kind, host);
    }
  }

  private void readStream(
      RequestKind kind, PromptTag tag, String host, InputStream body, long startNanos)
      throws IOException {
    ClassStatistics statistics = statisticsOf(kind);
    ResponseChecker checker = new ResponseChecker(violations, tag.nonce());
    long lastTokenNanos = 0;
    boolean complete = false;
    try (BufferedReader reader =
        new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8))) {
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        if (!line.startsWith("data: ")) {
          continue;
        }
        String data = line.substring("data: ".length());
        if (data.equals("[DONE]")) {
          complete = true;
          break;
        }
        JsonNode chunk = Json.LENIENT.readTree(data);
        if (chunk.has("error")) {
          recordFailure(kind, tag.nonce(), data);
          return;
        }
        checker.checkText(chunk.at("/choices/0/delta/content").asText());
        long nowNanos = System.nanoTime();
        if (lastTokenNanos == 0) {
          statistics.recordFirstReply((nowNanos - startNanos) / NANOS_PER_MILLI);
        } else {
          statistics.recordTokenGap((nowNanos - lastTokenNanos) / NANOS_PER_MILLI);
        }
        lastTokenNanos = nowNanos;
      }
    }
    if (complete) {
      checker.checkCompleteness(tag.tokens());
      statistics.recordCompletion();
    } else {
      recordConnectionLoss(kind, host);
    }
  }

  private void sendNonStreamed(RequestKind kind, SplittableRandom random)
      throws InterruptedException {
    PromptTag tag = new PromptTag(drawNonce(random), drawOutputTokens(kind, random));
    String body = completionBody(kind, tag);
    JsonNode response = sendWithRetries(kind, "/v1/chat/completions", body, tag.nonce(), random);
    if (response != null) {
      ResponseChecker checker = new ResponseChecker(violations, tag.nonce());
      checker.checkText(response.at("/choices/0/message/content").asText());
      checker.checkCompleteness(tag.tokens());
    }
  }

  private void sendToPlainService(RequestKind kind, SplittableRandom random)
      throws InterruptedException {
    String nonce = drawNonce(random);
    String body =
        Json.text(
            Json.MAPPER
                .createObjectNode()
                .put("nonce", nonce)
                .put("workMillis", 5 + random.nextInt(20)));
    String path = "/services/" + kind.target() + "/" + kind.className();
    JsonNode response = sendWithRetries(kind, path, body, nonce, random);
    if (response != null && !response.path("nonce").asText().equals(nonce)) {
      violations.answersCrossed.incrementAndGet();
    }
  }

  /**
   * Sends a request; if it is not repeatable, retries it with the same idempotency key when no
   * response arrives. Returns the response body, or null after a failure.
   */
  private @Nullable JsonNode sendWithRetries(
      RequestKind kind, String path, String body, String nonce, SplittableRandom random)
      throws InterruptedException {
    boolean needsKey = !isRepeatable(kind);
    String idempotencyKey = drawIdempotencyKey(random);
    if (needsKey) {
      noncesWithIdempotencyKey.put(nonce, true);
    }
    long startNanos = System.nanoTime();
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      String host = balancer.chooseHost(random);
      HttpRequest.Builder request = requestBuilder(host, kind, path, body);
      if (needsKey) {
        request.header("Idempotency-Key", idempotencyKey);
      }
      try {
        HttpResponse<String> response =
            client.send(request.build(), HttpResponse.BodyHandlers.ofString());
        if (response.statusCode() == STATUS_OK) {
          statisticsOf(kind).recordFirstReply((System.nanoTime() - startNanos) / NANOS_PER_MILLI);
          statisticsOf(kind).recordCompletion();
          return Json.LENIENT.readTree(response.body());
        }
        recordFailure(kind, nonce, response.body());
        return null;
      } catch (IOException e) {
        if (!needsKey) {
          recordConnectionLoss(kind, host);
          return null;
        }
        Thread.sleep(RETRY_DELAY_MILLIS);
      }
    }
    statisticsOf(kind).recordFailure("no answer");
    return null;
  }

  private void recordFailure(RequestKind kind, String nonce, String body) {
    try {
      JsonNode error = Json.LENIENT.readTree(body);
      statisticsOf(kind).recordFailure(error.path("code").asText("no code"));
      if (error.path("ran").asText().equals("no")) {
        noncesReportedNotRun.add(nonce);
      }
    } catch (JsonProcessingException e) {
      statisticsOf(kind).recordFailure("not JSON");
    }
  }

  private void recordConnectionLoss(RequestKind kind, String host) {
    if (hostsStoppedAsPlanned.contains(host)) {
      violations.cutOffByPlannedStop.incrementAndGet();
    }
    statisticsOf(kind).recordFailure("connection lost");
  }

  @Override
  public void close() {
    executor.shutdownNow();
    client.shutdownNow();
    try {
      executor.awaitTermination(1, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
