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
 * A stand-in for a model engine: an {@link EngineModel} on this machine's time behind the engines'
 * HTTP protocol. The length of an answer and a nonce stand in the prompt, as {@code [[nonce=X
 * tokens=N]]}; each token's text names the nonce, the generation and its index, so that whoever
 * reads the answer can tell where each token came from. Thread-safe.
 */
public final class StandinEngine implements AutoCloseable {
  private static final long TICK_MILLIS = 2;
  private static final int BACKLOG = 1_024;
  private static final int MAX_GENERATIONS = 20_000;
  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD = 400;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final int NANOS_PER_MICRO = 1_000;
  private static final int CHARS_PER_TOKEN = 4;

  private final StandinOptions options;
  private final RunLog runLog;
  private final EngineModel model;
  private final HttpServer server;
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final Thread ticker;
  private final Announcer announcer;
  private final long incarnation = System.currentTimeMillis();
  private final Map<String, Generation> generations =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Generation> eldest) {
          return size() > MAX_GENERATIONS && eldest.getValue().complete;
        }
      };
  private final Set<String> cancelled = new HashSet<>();
  private final Map<Long, Long> fencing = new HashMap<>();
  private BackendAnnouncement.State state = BackendAnnouncement.State.READY;
  private @Nullable Load frozenLoad;
  private boolean stopped;

  private record Load(int blocksFree, int running, int waiting) {}

  private static final class Generation {
    final String id;
    final PromptTag tag;
    final int promptTokens;
    int produced;
    boolean complete;
    int connection;
    boolean silenced;

    Generation(String id, PromptTag tag, int promptTokens, int produced) {
      this.id = id;
      this.tag = tag;
      this.promptTokens = promptTokens;
      this.produced = produced;
    }
  }

  private StandinEngine(StandinOptions options, RunLog runLog) throws IOException {
    this.options = options;
    this.runLog = runLog;
    this.model = new EngineModel(options.engine());
    this.server =
        HttpServer.create(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), options.port()), BACKLOG);
    server.setExecutor(executor);
    server.createContext("/", this::handle);
    server.start();
    this.ticker = Thread.ofPlatform().daemon(true).name(options.name()).start(this::tick);
    this.announcer = new Announcer(options.hosts(), this::announcement);
  }

  /** Starts an engine. */
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
  public synchronized long preemptions() {
    return model.preemptions();
  }

  /** Returns the number of generations that are running or waiting. */
  public synchronized int open() {
    return model.running() + model.waiting();
  }

  /** Announces that the engine leaves or is reclaimed. */
  public void announceState(BackendAnnouncement.State newState) {
    synchronized (this) {
      state = newState;
    }
    announcer.announce();
  }

  /** Stops reporting new load figures, or starts again. */
  public synchronized void freezeReports(boolean frozen) {
    frozenLoad =
        frozen
            ? new Load(model.blocksTotal() - model.blocksUsed(), model.running(), model.waiting())
            : null;
  }

  /** Makes one open connection silent for good; returns whether there was one. */
  public synchronized boolean silenceOneConnection() {
    for (Generation generation : generations.values()) {
      if (generation.produced > 0 && !generation.complete && !generation.silenced) {
        generation.silenced = true;
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
    ticker.interrupt();
    announcer.close();
    server.stop(0);
    executor.shutdownNow();
  }

  private synchronized BackendAnnouncement announcement(long sequence) {
    Load load = frozenLoad;
    if (load == null) {
      load = new Load(model.blocksTotal() - model.blocksUsed(), model.running(), model.waiting());
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

  private void tick() {
    try {
      while (true) {
        synchronized (this) {
          for (EngineEvent event : model.advance(nowMicros())) {
            if (event instanceof EngineEvent.Token token) {
              produced(token);
            }
          }
          notifyAll();
        }
        Thread.sleep(TICK_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void produced(EngineEvent.Token token) {
    Generation generation = generations.get(token.generation());
    if (generation != null) {
      generation.produced = token.index() + 1;
      generation.complete = token.last();
    }
  }

  // ---- HTTP -------------------------------------------------------------------------------------

  private void handle(HttpExchange http) throws IOException {
    try (http) {
      JsonNode body = Json.LENIENT.readTree(http.getRequestBody().readAllBytes());
      switch (http.getRequestURI().getPath()) {
        case "/v1/completions", "/v1/chat/completions" -> complete(http, body);
        case "/v1/cancel" -> cancel(http, body);
        case "/v1/orders" -> order(http, body);
        default -> answer(http, STATUS_NOT_FOUND, "no such path");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void complete(HttpExchange http, JsonNode body) throws IOException, InterruptedException {
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
        answer(http, STATUS_UNAVAILABLE, "the engine is leaving");
        return;
      }
      generation = generations.get(id);
      if (generation == null && resume.isObject()) {
        generation = takeOver(id, offset, body);
      } else if (generation == null) {
        generation = begin(id, body);
      }
      if (generation == null) {
        answer(http, STATUS_NOT_FOUND, "generation unknown, or no [[nonce=… tokens=…]] in prompt");
        return;
      }
      generation.silenced = false;
      connection = ++generation.connection;
    }
    stream(http, body, generation, connection, offset);
  }

  private @Nullable Generation begin(String id, JsonNode body) {
    PromptTag tag = PromptTag.find(body);
    if (tag == null || cancelled.contains(id)) {
      return null;
    }
    runLog.started(tag.nonce());
    return submit(id, tag, body, 0);
  }

  private @Nullable Generation takeOver(String id, int offset, JsonNode body) {
    PromptTag tag = PromptTag.find(body);
    boolean able = options.resume() == BackendAnnouncement.Resume.TAKEOVER;
    return able && tag != null && offset > 0 ? submit(id, tag, body, offset) : null;
  }

  private Generation submit(String id, PromptTag tag, JsonNode body, int produced) {
    String prompt = PromptTag.prompt(body);
    int promptTokens = prompt.length() / CHARS_PER_TOKEN + 1;
    int limit = body.path("max_tokens").asInt(Integer.MAX_VALUE);
    int outputTokens = Math.min(tag.tokens(), limit);
    model.submit(
        new EngineModel.EngineRequest(
            id,
            promptTokens,
            outputTokens,
            body.path("priority").asInt(0),
            prompt.substring(0, Math.min(256, prompt.length())).hashCode(),
            produced),
        nowMicros());
    Generation generation = new Generation(id, tag, promptTokens, produced);
    generations.put(id, generation);
    return generation;
  }

  private void stream(
      HttpExchange http, JsonNode body, Generation generation, int connection, int offset)
      throws IOException, InterruptedException {
    http.getResponseHeaders().set("Content-Type", "text/event-stream");
    http.sendResponseHeaders(STATUS_OK, 0);
    boolean chat = http.getRequestURI().getPath().contains("chat");
    OutputStream out = http.getResponseBody();
    int next = offset;
    while (true) {
      List<String> ready = awaitTokens(generation, connection, next, chat, body);
      if (ready.isEmpty()) {
        return;
      }
      for (String event : ready) {
        out.write(event.getBytes(StandardCharsets.UTF_8));
      }
      next += ready.size();
      out.flush();
      if (isFinished(generation, next)) {
        out.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
        return;
      }
    }
  }

  private synchronized boolean isFinished(Generation generation, int sent) {
    return generation.complete && sent >= generation.produced;
  }

  /** Waits for tokens from {@code next} on; an empty list means that the connection is to end. */
  private synchronized List<String> awaitTokens(
      Generation generation, int connection, int next, boolean chat, JsonNode body)
      throws InterruptedException {
    while (true) {
      boolean superseded = stopped || generation.connection != connection;
      boolean dropped = !generation.complete && !model.knows(generation.id);
      if (superseded || dropped) {
        return List.of();
      }
      if (generation.produced > next && !generation.silenced) {
        break;
      }
      wait();
    }
    List<String> events = new ArrayList<>();
    for (int index = next; index < generation.produced; index++) {
      boolean last = generation.complete && index == generation.produced - 1;
      events.add("data: " + chunk(generation, index, last, chat, body) + "\n\n");
    }
    return events;
  }

  private static String chunk(
      Generation generation, int index, boolean last, boolean chat, JsonNode body) {
    ObjectNode chunk = Json.MAPPER.createObjectNode();
    chunk.put("id", generation.id);
    chunk.put("object", chat ? "chat.completion.chunk" : "text_completion");
    chunk.put("model", body.path("model").asText());
    chunk.put("token_index", index);
    ObjectNode choice = chunk.putArray("choices").addObject();
    choice.put("index", 0);
    choice.put("finish_reason", last ? "stop" : null);
    String text = generation.tag.text(generation.id, index);
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

  private void cancel(HttpExchange http, JsonNode body) throws IOException {
    String id = body.path("generation_id").asText();
    synchronized (this) {
      cancelled.add(id);
      model.cancel(id);
      generations.remove(id);
      notifyAll();
    }
    answer(http, STATUS_OK, "cancelled");
  }

  private void order(HttpExchange http, JsonNode body) throws IOException {
    long number = body.path("fencing_number").asLong();
    synchronized (this) {
      long highest = fencing.getOrDefault(0L, 0L);
      if (options.checksFencing() && number < highest) {
        answer(http, STATUS_BAD, "fencing number " + number + " is older than " + highest);
        return;
      }
      fencing.put(0L, Math.max(highest, number));
    }
    answer(http, STATUS_OK, "done");
  }

  private static void answer(HttpExchange http, int status, String text) throws IOException {
    byte[] body = Json.write(Json.MAPPER.createObjectNode().put("message", text)).toByteArray();
    http.getResponseHeaders().set("Content-Type", "application/json");
    http.sendResponseHeaders(status, body.length);
    http.getResponseBody().write(body);
  }
}
