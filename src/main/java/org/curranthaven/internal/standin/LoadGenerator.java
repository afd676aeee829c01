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
 * Asks the system as callers do, and checks every answer. Arrivals and lengths come from a seeded
 * generator; requests that may not be repeated are sent again with the same key when an answer is
 * lost, and never otherwise. Thread-safe.
 */
public final class LoadGenerator implements AutoCloseable {
  /** Longest answer asked for, in tokens, so that a run ends soon after its last request. */
  private static final int MAX_TOKENS = 1_000;

  private static final int MAX_SENDS = 6;
  private static final long RESEND_MILLIS = 200;
  private static final int STATUS_OK = 200;
  private static final int CHARS_PER_TOKEN = 4;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(60);

  private final List<WorkKind> kinds;
  private final Balancer balancer;
  private final RunLog runLog;
  private final PromiseTally promises = new PromiseTally();
  private final Map<String, ClassTally> classes = new TreeMap<>();
  private final Map<String, ServiceClass> serviceClasses = new HashMap<>();
  private final Set<String> plannedStops = ConcurrentHashMap.newKeySet();
  private final Map<String, Boolean> keyedNonces = new ConcurrentHashMap<>();
  private final Set<String> toldNotRun = ConcurrentHashMap.newKeySet();
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .executor(Executors.newVirtualThreadPerTaskExecutor())
          .build();
  private final AtomicInteger open = new AtomicInteger();
  private final AtomicInteger sentCount = new AtomicInteger();

  /** Creates a load of the given kinds. */
  public LoadGenerator(
      List<WorkKind> kinds, List<ServiceClass> classes, Balancer balancer, RunLog runLog) {
    this.kinds = List.copyOf(kinds);
    this.balancer = balancer;
    this.runLog = runLog;
    for (ServiceClass serviceClass : classes) {
      this.classes.put(serviceClass.name(), new ClassTally(serviceClass.targets()));
      serviceClasses.put(serviceClass.name(), serviceClass);
    }
  }

  /** Sends requests for a time, at a mean rate; returns when the last one was sent. */
  public void run(long millis, double requestsPerSecond, long seed) throws InterruptedException {
    SplittableRandom random = new SplittableRandom(seed);
    double totalWeight = kinds.stream().mapToDouble(WorkKind::weight).sum();
    long start = System.nanoTime();
    double dueMillis = 0;
    while (true) {
      dueMillis += -Math.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond;
      if (dueMillis >= millis) {
        return;
      }
      long aheadMillis = (long) dueMillis - (System.nanoTime() - start) / NANOS_PER_MILLI;
      if (aheadMillis > 0) {
        Thread.sleep(aheadMillis);
      }
      WorkKind kind = draw(random, totalWeight);
      SplittableRandom own = random.split();
      open.incrementAndGet();
      sentCount.incrementAndGet();
      executor.execute(() -> send(kind, own));
    }
  }

  /** Waits until every request has ended; returns the number still open when the time is up. */
  public int awaitEnd(long timeoutMillis) throws InterruptedException {
    long deadline = System.nanoTime() + timeoutMillis * NANOS_PER_MILLI;
    while (open.get() > 0 && System.nanoTime() < deadline) {
      Thread.sleep(10);
    }
    return open.get();
  }

  /** Returns the number of requests that have not ended. */
  public int open() {
    return open.get();
  }

  /** Returns the number of requests sent. */
  public int sent() {
    return sentCount.get();
  }

  /** Notes that a host is being stopped as planned, by its HTTP address. */
  public void plannedStop(String host) {
    plannedStops.add(host);
  }

  /** Returns what each class saw. */
  public Map<String, ClassTally.Summary> classes() {
    Map<String, ClassTally.Summary> result = new TreeMap<>();
    classes.forEach((name, tally) -> result.put(name, tally.summary()));
    return result;
  }

  /** Returns the breaches of promises; to be called after the last request has ended. */
  public PromiseTally.Counts promises() {
    PromiseTally total = new PromiseTally();
    keyedNonces.keySet().stream()
        .filter(nonce -> runLog.runs(nonce) > 1)
        .forEach(nonce -> total.doubleRuns.incrementAndGet());
    toldNotRun.stream()
        .filter(nonce -> runLog.runs(nonce) > 0)
        .forEach(nonce -> total.falseNotRun.incrementAndGet());
    PromiseTally.Counts seen = promises.counts();
    return new PromiseTally.Counts(
        seen.tokensLost(),
        seen.tokensRepeated(),
        seen.tokensOutOfOrder(),
        seen.generationsSpliced(),
        seen.answersCrossed(),
        total.doubleRuns.get(),
        seen.falseNotRun() + total.falseNotRun.get(),
        seen.cutOffByPlannedStop());
  }

  private WorkKind draw(SplittableRandom random, double totalWeight) {
    double point = random.nextDouble() * totalWeight;
    for (WorkKind kind : kinds) {
      point -= kind.weight();
      if (point < 0) {
        return kind;
      }
    }
    return kinds.getLast();
  }

  // ---- one request ------------------------------------------------------------------------------

  private void send(WorkKind kind, SplittableRandom random) {
    ClassTally tally = tallyOf(kind);
    tally.sent();
    try {
      if (kind.plain()) {
        sendPlain(kind, random);
      } else if (kind.streamed()) {
        sendStreamed(kind, random);
      } else {
        sendWhole(kind, random);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      open.decrementAndGet();
    }
  }

  private ClassTally tallyOf(WorkKind kind) {
    ClassTally tally = classes.get(kind.className());
    if (tally == null) {
      throw new IllegalArgumentException("no class " + kind.className());
    }
    return tally;
  }

  private boolean isRepeatable(WorkKind kind) {
    ServiceClass serviceClass = serviceClasses.get(kind.className());
    return serviceClass == null || serviceClass.repeatable();
  }

  private static int lengthOf(WorkKind kind, SplittableRandom random) {
    return Math.min(MAX_TOKENS, kind.drawTokens(random));
  }

  private static String nonce(SplittableRandom random) {
    return new UUID(random.nextLong(), random.nextLong()).toString();
  }

  private static String key(SplittableRandom random) {
    long high = (System.currentTimeMillis() << 16) | 0x7000L | random.nextInt(0x1000);
    return new UUID(high, 0x8000_0000_0000_0000L | (random.nextLong() >>> 2)).toString();
  }

  private HttpRequest.Builder request(String host, WorkKind kind, String path, String body) {
    return HttpRequest.newBuilder(URI.create("http://" + host + path))
        .timeout(CALL_TIMEOUT)
        .header("Authorization", "Bearer " + Workloads.KEY)
        .header("Curranthaven-Class", kind.className())
        .header("Content-Type", "application/json")
        .POST(HttpRequest.BodyPublishers.ofString(body));
  }

  private static String completionBody(WorkKind kind, PromptTag tag) {
    String filler = "x".repeat(kind.promptTokens() * CHARS_PER_TOKEN);
    ObjectNode body = Json.MAPPER.createObjectNode();
    body.put("model", kind.target());
    body.put("stream", kind.streamed());
    body.putArray("messages").addObject().put("role", "user").put("content", filler + tag.asText());
    return Json.text(body);
  }

  private void sendStreamed(WorkKind kind, SplittableRandom random) throws InterruptedException {
    PromptTag tag = new PromptTag(nonce(random), lengthOf(kind, random));
    String host = balancer.choose(random);
    HttpRequest request =
        request(host, kind, "/v1/chat/completions", completionBody(kind, tag)).build();
    long start = System.nanoTime();
    try {
      HttpResponse<InputStream> response =
          client.send(request, HttpResponse.BodyHandlers.ofInputStream());
      if (response.statusCode() == STATUS_OK) {
        readStream(kind, tag, host, response.body(), start);
      } else {
        failed(
            kind, tag.nonce(), new String(response.body().readAllBytes(), StandardCharsets.UTF_8));
      }
    } catch (IOException e) {
      interrupted(kind, host);
    }
  }

  private void readStream(
      WorkKind kind, PromptTag tag, String host, InputStream body, long startNanos)
      throws IOException {
    ClassTally tally = tallyOf(kind);
    AnswerCheck check = new AnswerCheck(promises, tag.nonce());
    long last = 0;
    boolean done = false;
    try (BufferedReader reader =
        new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8))) {
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        if (!line.startsWith("data: ")) {
          continue;
        }
        String data = line.substring("data: ".length());
        if (data.equals("[DONE]")) {
          done = true;
          break;
        }
        JsonNode chunk = Json.LENIENT.readTree(data);
        if (chunk.has("error")) {
          failed(kind, tag.nonce(), data);
          return;
        }
        check.text(chunk.at("/choices/0/delta/content").asText());
        long now = System.nanoTime();
        if (last == 0) {
          tally.firstReply((now - startNanos) / NANOS_PER_MILLI);
        } else {
          tally.gap((now - last) / NANOS_PER_MILLI);
        }
        last = now;
      }
    }
    if (done) {
      check.complete(tag.tokens());
      tally.completed();
    } else {
      interrupted(kind, host);
    }
  }

  private void sendWhole(WorkKind kind, SplittableRandom random) throws InterruptedException {
    PromptTag tag = new PromptTag(nonce(random), lengthOf(kind, random));
    String body = completionBody(kind, tag);
    JsonNode answer = sendUntilAnswered(kind, "/v1/chat/completions", body, tag.nonce(), random);
    if (answer != null) {
      AnswerCheck check = new AnswerCheck(promises, tag.nonce());
      check.text(answer.at("/choices/0/message/content").asText());
      check.complete(tag.tokens());
    }
  }

  private void sendPlain(WorkKind kind, SplittableRandom random) throws InterruptedException {
    String nonce = nonce(random);
    String body =
        Json.text(
            Json.MAPPER
                .createObjectNode()
                .put("nonce", nonce)
                .put("workMillis", 5 + random.nextInt(20)));
    String path = "/services/" + kind.target() + "/" + kind.className();
    JsonNode answer = sendUntilAnswered(kind, path, body, nonce, random);
    if (answer != null && !answer.path("nonce").asText().equals(nonce)) {
      promises.answersCrossed.incrementAndGet();
    }
  }

  /** Sends a call, again with the same key after a lost answer; returns the answer or null. */
  private @Nullable JsonNode sendUntilAnswered(
      WorkKind kind, String path, String body, String nonce, SplittableRandom random)
      throws InterruptedException {
    boolean keyed = !isRepeatable(kind);
    String key = key(random);
    if (keyed) {
      keyedNonces.put(nonce, true);
    }
    long start = System.nanoTime();
    for (int sends = 0; sends < MAX_SENDS; sends++) {
      String host = balancer.choose(random);
      HttpRequest.Builder request = request(host, kind, path, body);
      if (keyed) {
        request.header("Idempotency-Key", key);
      }
      try {
        HttpResponse<String> response =
            client.send(request.build(), HttpResponse.BodyHandlers.ofString());
        if (response.statusCode() == STATUS_OK) {
          tallyOf(kind).firstReply((System.nanoTime() - start) / NANOS_PER_MILLI);
          tallyOf(kind).completed();
          return Json.LENIENT.readTree(response.body());
        }
        failed(kind, nonce, response.body());
        return null;
      } catch (IOException e) {
        if (!keyed) {
          interrupted(kind, host);
          return null;
        }
        Thread.sleep(RESEND_MILLIS);
      }
    }
    tallyOf(kind).failed("no answer");
    return null;
  }

  private void failed(WorkKind kind, String nonce, String body) {
    try {
      JsonNode error = Json.LENIENT.readTree(body);
      tallyOf(kind).failed(error.path("code").asText("no code"));
      if (error.path("ran").asText().equals("no")) {
        toldNotRun.add(nonce);
      }
    } catch (JsonProcessingException e) {
      tallyOf(kind).failed("not JSON");
    }
  }

  private void interrupted(WorkKind kind, String host) {
    if (plannedStops.contains(host)) {
      promises.cutOffByPlannedStop.incrementAndGet();
    }
    tallyOf(kind).failed("connection lost");
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
