package org.curranthaven.internal.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.curranthaven.internal.membership.BackendAnnouncement;
import org.curranthaven.internal.settings.Json;
import org.jspecify.annotations.Nullable;

/**
 * A stand-in for a model engine: an {@link EngineModel} in real time that serves the engines' HTTP
 * protocol. The prompt holds a nonce and the output length, as {@code [[nonce=X tokens=N]]}. The
 * text of each token holds the nonce, the generation and the token's index, so that the reader of a
 * response can tell where each token came from. Thread-safe.
 */
public final class StandinEngine implements AutoCloseable {
  private static final long ADVANCE_INTERVAL_MILLIS = 2;

  /** Largest number of connections that wait to be accepted. */
  private static final int MAX_PENDING_CONNECTIONS = 1_024;

  private static final int MAX_REMEMBERED_GENERATIONS = 20_000;
  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final int NANOS_PER_MICRO = 1_000;
  private static final int CHARS_PER_TOKEN = 4;

  private final StandinOptions options;
  private final RunLog runLog;
  private final EngineModel model;
  private final HttpServer server;
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final Thread advanceThread;
  private final AnnouncementSender announcementSender;
  private final long incarnation = System.currentTimeMillis();
  private final Map<String, Generation> generations =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Generation> eldest) {
          return size() > MAX_REMEMBERED_GENERATIONS && eldest.getValue().complete;
        }
      };
  private final Set<String> cancelledGenerations = new HashSet<>();
  private final Map<Long, Long> highestFencingNumbers = new HashMap<>();
  private BackendAnnouncement.State state = BackendAnnouncement.State.READY;
  private @Nullable Load frozenLoad;
  private boolean stopped;

  /** The load figures that announcements report. */
  private record Load(int blocksFree, int running, int waiting) {}

  /** A generation with its progress and the connection that its tokens are sent on. */
  private static final class Generation {
    final String id;
    final PromptTag tag;
    final int promptTokens;
    int producedTokens;
    boolean complete;
    int latestConnection;
    boolean stalled;

    Generation(String id, PromptTag tag, int promptTokens, int producedTokens) {
      this.id = id;
      this.tag = tag;
      this.promptTokens = promptTokens;
      this.producedTokens = producedTokens;
    }
  }

  private StandinEngine(StandinOptions options, RunLog runLog) throws IOException {
    this.options = options;
    this.runLog = runLog;
    this.model = new EngineModel(options.engine());
    this.server =
        HttpServer.create(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), options.port()),
            MAX_PENDING_CONNECTIONS);
    server.setExecutor(executor);
    server.createContext("/", this::handle);
    server.start();
    this.advanceThread =
        Thread.ofPlatform().daemon(true).name(options.name()).start(this::advanceModel);
    this.announcementSender = new AnnouncementSender(options.hosts(), this::announcement);
  }

  /** Starts an engine, which listens for requests and sends announcements. */
  public static StandinEngine start(StandinOptions options, RunLog runLog) throws IOException {
    return new StandinEngine(options, runLog);
  }

  /** Returns the engine's address. */
  public String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Returns the engine's name. */
  public String name() {
    return options.name();
  }

  /** Returns the number of preemptions so far. */
  public synchronized long preemptionCount() {
    return model.preemptionCount();
  }

  /** Returns the number of generations that are running or waiting. */
  public synchronized int openGenerationCount() {
    return model.runningCount() + model.waitingCount();
  }

  /** Sets the engine's state, for example leaving or reclaimed, and announces it at once. */
  public void announceState(BackendAnnouncement.State newState) {
    synchronized (this) {
      state = newState;
    }
    announcementSender.sendAnnouncement();
  }

  /** Sets whether announcements keep repeating the load figures of this moment. */
  public synchronized void setLoadReportsFrozen(boolean frozen) {
    frozenLoad =
        frozen
            ? new Load(
                model.blocksTotal() - model.blocksUsed(),
                model.runningCount(),
                model.waitingCount())
            : null;
  }

  /**
   * Stops sending tokens of one open stream while its connection stays open, until the generation
   * is resumed. Returns whether there was such a stream.
   */
  public synchronized boolean stallOneConnection() {
    for (Generation generation : generations.values()) {
      if (generation.producedTokens > 0 && !generation.complete && !generation.stalled) {
        generation.stalled = true;
        return true;
      }
    }
    return false;
  }

  @Override
  public void close() {
    synchronized (this) {
      stopped = true;
      notifyAll();
    }
    advanceThread.interrupt();
    announcementSender.close();
    server.stop(0);
    executor.shutdownNow();
  }

  private synchronized BackendAnnouncement announcement(long sequence) {
    Load load = frozenLoad;
    if (load == null) {
      load =
          new Load(
              model.blocksTotal() - model.blocksUsed(), model.runningCount(), model.waitingCount());
    }
    return new BackendAnnouncement(
        options.name(),
        incarnation,
        sequence,
        address(),
        options.dataCentre(),
        List.of(options.model()),
        "",
        "general",
        model.blocksTotal(),
        load.blocksFree(),
        load.running(),
        load.waiting(),
        options.engine().maxBatch(),
        options.engine().honoursPriority(),
        options.resume(),
        options.checksFencing(),
        state);
  }

  private static long nowMicros() {
    return System.nanoTime() / NANOS_PER_MICRO;
  }

  /** Advances the model to the current time at a short interval. */
  private void advanceModel() {
    try {
      while (true) {
        synchronized (this) {
          for (EngineEvent event : model.advance(nowMicros())) {
            if (event instanceof EngineEvent.Token token) {
              recordToken(token);
            }
          }
          notifyAll();
        }
        Thread.sleep(ADVANCE_INTERVAL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void recordToken(EngineEvent.Token token) {
    Generation generation = generations.get(token.generation());
    if (generation != null) {
      generation.producedTokens = token.index() + 1;
      generation.complete = token.last();
    }
  }

  // ---- HTTP -------------------------------------------------------------------------------------

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      JsonNode body = Json.LENIENT.readTree(exchange.getRequestBody().readAllBytes());
      switch (exchange.getRequestURI().getPath()) {
        case "/v1/completions", "/v1/chat/completions" -> handleCompletion(exchange, body);
        case "/v1/cancel" -> handleCancel(exchange, body);
        case "/v1/orders" -> handleOrder(exchange, body);
        default ->
            respond(
                exchange,
                STATUS_NOT_FOUND,
                "unknown path; use /v1/completions, /v1/chat/completions, /v1/cancel or"
                    + " /v1/orders");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void handleCompletion(HttpExchange exchange, JsonNode body)
      throws IOException, InterruptedException {
    JsonNode resume = body.path("resume");
    String id =
        resume.isObject()
            ? resume.path("generation_id").asText()
            : body.path("generation_id").asText();
    int offset = resume.path("offset").asInt(0);
    Generation generation;
    int connection;
    synchronized (this) {
      if (stopped || (state != BackendAnnouncement.State.READY && !resume.isObject())) {
        respond(
            exchange,
            STATUS_UNAVAILABLE,
            "the engine is leaving or stopped; send the request to another engine");
        return;
      }
      generation = generations.get(id);
      if (generation == null && resume.isObject()) {
        generation = resumeFromOffset(id, offset, body);
      } else if (generation == null) {
        generation = startGeneration(id, body);
      }
      if (generation == null) {
        respond(
            exchange,
            STATUS_NOT_FOUND,
            "unknown or cancelled generation, or no [[nonce=X tokens=N]] in the prompt");
        return;
      }
      generation.stalled = false;
      connection = ++generation.latestConnection;
    }
    streamTokens(exchange, body, generation, connection, offset);
  }

  private @Nullable Generation startGeneration(String id, JsonNode body) {
    PromptTag tag = PromptTag.findIn(body);
    if (tag == null || cancelledGenerations.contains(id)) {
      return null;
    }
    runLog.recordStart(tag.nonce());
    return submitToModel(id, tag, body, 0);
  }

  private @Nullable Generation resumeFromOffset(String id, int offset, JsonNode body) {
    PromptTag tag = PromptTag.findIn(body);
    boolean canResume = options.resume() == BackendAnnouncement.Resume.TAKEOVER;
    return canResume && tag != null && offset > 0 ? submitToModel(id, tag, body, offset) : null;
  }

  private Generation submitToModel(
      String id, PromptTag tag, JsonNode body, int alreadyProducedTokens) {
    String prompt = PromptTag.promptOf(body);
    int promptTokens = prompt.length() / CHARS_PER_TOKEN + 1;
    int maxTokens = body.path("max_tokens").asInt(Integer.MAX_VALUE);
    int outputTokens = Math.min(tag.tokens(), maxTokens);
    model.submit(
        new EngineModel.EngineRequest(
            id,
            promptTokens,
            outputTokens,
            body.path("priority").asInt(0),
            prompt.substring(0, Math.min(256, prompt.length())).hashCode(),
            alreadyProducedTokens),
        nowMicros());
    Generation generation = new Generation(id, tag, promptTokens, alreadyProducedTokens);
    generations.put(id, generation);
    return generation;
  }

  private void streamTokens(
      HttpExchange exchange, JsonNode body, Generation generation, int connection, int offset)
      throws IOException, InterruptedException {
    exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
    exchange.sendResponseHeaders(STATUS_OK, 0);
    boolean chat = exchange.getRequestURI().getPath().contains("chat");
    OutputStream out = exchange.getResponseBody();
    int nextIndex = offset;
    while (true) {
      List<String> events = awaitTokens(generation, connection, nextIndex, chat, body);
      if (events.isEmpty()) {
        return;
      }
      for (String event : events) {
        out.write(event.getBytes(StandardCharsets.UTF_8));
      }
      nextIndex += events.size();
      out.flush();
      if (isFullySent(generation, nextIndex)) {
        out.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
        return;
      }
    }
  }

  private synchronized boolean isFullySent(Generation generation, int sentTokens) {
    return generation.complete && sentTokens >= generation.producedTokens;
  }

  /**
   * Waits for tokens from {@code nextIndex} on and returns their events; an empty list means that
   * the response must end.
   */
  private synchronized List<String> awaitTokens(
      Generation generation, int connection, int nextIndex, boolean chat, JsonNode body)
      throws InterruptedException {
    while (true) {
      boolean superseded = stopped || generation.latestConnection != connection;
      boolean cancelled = !generation.complete && !model.hasGeneration(generation.id);
      if (superseded || cancelled) {
        return List.of();
      }
      if (generation.producedTokens > nextIndex && !generation.stalled) {
        break;
      }
      wait();
    }
    List<String> events = new ArrayList<>();
    for (int index = nextIndex; index < generation.producedTokens; index++) {
      boolean last = generation.complete && index == generation.producedTokens - 1;
      events.add("data: " + chunkJson(generation, index, last, chat, body) + "\n\n");
    }
    return events;
  }

  private static String chunkJson(
      Generation generation, int index, boolean last, boolean chat, JsonNode body) {
    ObjectNode chunk = Json.MAPPER.createObjectNode();
    chunk.put("id", generation.id);
    chunk.put("object", chat ? "chat.completion.chunk" : "text_completion");
    chunk.put("model", body.path("model").asText());
    chunk.put("token_index", index);
    ObjectNode choice = chunk.putArray("choices").addObject();
    choice.put("index", 0);
    choice.put("finish_reason", last ? "stop" : null);
    String text = generation.tag.tokenText(generation.id, index);
    if (chat) {
      choice.putObject("delta").put("content", text);
    } else {
      choice.put("text", text);
    }
    if (last) {
      chunk.putObject("usage").put("prompt_tokens", generation.promptTokens);
    }
    return Json.text(chunk);
  }

  private void handleCancel(HttpExchange exchange, JsonNode body) throws IOException {
    String id = body.path("generation_id").asText();
    synchronized (this) {
      cancelledGenerations.add(id);
      model.cancel(id);
      generations.remove(id);
      notifyAll();
    }
    respond(exchange, STATUS_OK, "cancelled");
  }

  private void handleOrder(HttpExchange exchange, JsonNode body) throws IOException {
    long fencingNumber = body.path("fencing_number").asLong();
    synchronized (this) {
      long highest = highestFencingNumbers.getOrDefault(0L, 0L);
      if (options.checksFencing() && fencingNumber < highest) {
        respond(
            exchange,
            STATUS_BAD_REQUEST,
            "order rejected: fencing number " + fencingNumber + " is lower than " + highest);
        return;
      }
      highestFencingNumbers.put(0L, Math.max(highest, fencingNumber));
    }
    respond(exchange, STATUS_OK, "done");
  }

  private static void respond(HttpExchange exchange, int status, String message)
      throws IOException {
    byte[] body = Json.write(Json.MAPPER.createObjectNode().put("message", message)).toByteArray();
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, body.length);
    exchange.getResponseBody().write(body);
  }
}
