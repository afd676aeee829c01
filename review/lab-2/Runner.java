import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in for a backend server of the platform: registers itself, checks the expected instance,
 * runs requests, and copies the state of its streams to other stand-ins. It does only what the
 * users' pages allow.
 */
final class Runner {
  static final int PING_MILLIS = 1_200;

  /** All stand-ins of this process by address, between which state is copied. */
  private static final Map<String, Runner> BY_ADDRESS = new ConcurrentHashMap<>();

  private final Record record;
  private final List<String> controlAddresses;
  final String id;
  final String address;
  private final String service;
  private final int slots;
  private final boolean engine;
  private final Handler handler;

  private volatile Life life;

  /** Connections that may wait to be accepted. */
  volatile int backlog = 256;

  /** Whether streams have neither a length nor chunks and end with their connection. */
  volatile boolean unframed;

  /** Whether a run goes on after its connection has closed, as it does at some backend servers. */
  volatile boolean keepsRunning;

  private volatile long pausedUntilMillis;

  /** Runs a request whose head and body were read. */
  interface Handler {
    void run(Call call) throws Exception;
  }

  /** One request at a stand-in. */
  record Call(
      Life life,
      String method,
      String path,
      Map<String, String> headers,
      byte[] body,
      OutputStream out,
      Socket socket) {
    String attemptId() {
      return headers.getOrDefault("attempt-id", "");
    }

    /** Answers with a whole body. */
    void answer(int status, String extraHeaders, byte[] content) throws IOException {
      String head =
          "HTTP/1.1 " + status + " X\r\nAttempt-Id: " + attemptId() + "\r\n"
              + "Response-Seal: seal-" + attemptId() + "\r\nKeep-Alive: timeout=10\r\n"
              + extraHeaders + "Content-Length: " + content.length + "\r\n\r\n";
      out.write(head.getBytes(StandardCharsets.ISO_8859_1));
      out.write(content);
      out.flush();
    }

    /** States that the request was not run. */
    void refuse(int status) throws IOException {
      out.write(
          ("HTTP/1.1 " + status + " X\r\nAttempt-Id: " + attemptId() + "\r\nNot-Executed: 1\r\n"
                  + "Content-Length: 0\r\n\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }
  }

  /** An event that a stand-in has made, and whether it is the first of its run there. */
  record Work(String requestId, String runner, long nanos, boolean first) {}

  /** All events made, in order. */
  static final List<Work> WORK = new java.util.concurrent.CopyOnWriteArrayList<>();

  /** The run of one stream. */
  static final class Run {
    final String id;
    volatile int made;
    volatile boolean stopped;
    volatile String handle = "";

    Run(String id) {
      this.id = id;
    }
  }

  /** One lifetime: what it holds is lost with it. */
  final class Life {
    final long bornMillis = System.currentTimeMillis();
    final String version;
    final Map<String, Run> runs = new ConcurrentHashMap<>();
    final Map<String, Run> copies = new ConcurrentHashMap<>();
    final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    final ServerSocket listener;
    volatile boolean ended;
    private long sequence;
    private int handles;

    Life(String version, long firstPingDelayMillis) throws IOException {
      this.version = version;
      listener = new ServerSocket();
      listener.setReuseAddress(true);
      listener.bind(Http.address(address), backlog);
      daemon(this::accept);
      daemon(() -> ping(firstPingDelayMillis));
    }

    private void accept() {
      while (!ended) {
        try {
          awaitPauseEnd();
          Socket socket = listener.accept();
          sockets.add(socket);
          daemon(() -> serve(socket));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void ping(long firstDelayMillis) {
      int node = 0;
      pause(firstDelayMillis);
      while (!ended) {
        awaitPauseEnd();
        if (!register(controlAddresses.get(node % controlAddresses.size()))) {
          node++;
          continue;
        }
        pause(PING_MILLIS);
      }
    }

    private boolean register(String control) {
      String body =
          "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"zone-a\","
              + "\"version\":\"" + version + "\",\"slots\":" + slots + ",\"state\":\"ready\","
              + "\"coldLeftMs\":0,\"born\":" + bornMillis + ",\"seq\":" + ++sequence + "}";
      try {
        int status =
            Http.call(Http.address(control), "PUT", "/api/runners/" + id, body, 1_000).status();
        if (sequence == 1 || status != 200) {
          record.add("ping of " + id + " (" + version + ") answered " + status);
        }
        return status == 200;
      } catch (IOException e) {
        pause(50);
        return false;
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        socket.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        String line = Http.readLine(in);
        while (line != null && !ended) {
          String[] words = line.split(" ");
          if (words.length != 3 || !words[2].startsWith("HTTP/1.")) {
            record.add(id + " got a line that is no request: " + line);
            socket
                .getOutputStream()
                .write(
                    "HTTP/1.1 400 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                        .getBytes(StandardCharsets.ISO_8859_1));
            return;
          }
          Map<String, String> headers = Http.readHeaders(in);
          byte[] body =
              in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
          awaitPauseEnd();
          handle(
              new Call(
                  this, words[0], words[1], headers, body, socket.getOutputStream(), socket));
          line = Http.readLine(in);
        }
      } catch (Exception e) {
        // The connection or this lifetime has ended.
      } finally {
        sockets.remove(socket);
      }
    }

    private void handle(Call call) throws Exception {
      if (call.path().equals("/health")) {
        call.out()
            .write(
                ("HTTP/1.1 200 OK\r\nRunner-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
        call.out().flush();
      } else if (call.path().equals("/api/report") && !engine) {
        json(call, 404, "{}");
      } else if (call.path().equals("/api/report")) {
        json(call, 200, "{\"born\":" + bornMillis + ",\"busy\":false,\"queued\":0,\"running\":"
            + runs.size() + "}");
      } else if (call.path().equals("/api/kv-move")) {
        move(call);
      } else if (!call.headers().getOrDefault("expect-instance", id).equals(id)) {
        call.refuse(421);
      } else {
        handler.run(call);
      }
    }

    private void json(Call call, int status, String body) throws IOException {
      call.out()
          .write(
              ("HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: "
                      + body.length() + "\r\n\r\n" + body)
                  .getBytes(StandardCharsets.ISO_8859_1));
      call.out().flush();
    }

    /** Copies the state of a run to another stand-in; stops the run first if it is the last copy. */
    private void move(Call call) throws IOException {
      String body = new String(call.body(), StandardCharsets.UTF_8);
      String runId = field(body, "id");
      Run run = runs.get(runId);
      boolean last = body.contains("\"last\":true");
      if (run == null) {
        record.add(id + " (" + version + ") kv-move of " + runId + ": 404");
        json(call, 404, "{}");
        return;
      }
      if (run.handle.isEmpty()) {
        run.handle = "h" + ++handles;
      }
      if (last) {
        run.stopped = true;
        pause(60);
      }
      Runner target = BY_ADDRESS.get(field(body, "target"));
      if (target != null && target.life != null) {
        target.life.copies.put(address + "/" + run.handle, run);
      }
      record.add(
          id + " (" + version + ") kv-move of " + runId + " to "
              + (target == null ? "nobody" : target.id + " (" + target.life.version + ")")
              + (last ? ", last" : "") + ": 200, made " + run.made);
      json(call, 200, "{\"handle\":\"" + run.handle + "\",\"made\":" + run.made + "}");
    }

    void end() throws IOException {
      ended = true;
      listener.close();
      for (Socket socket : List.copyOf(sockets)) {
        socket.close();
      }
    }
  }

  Runner(
      Record record,
      List<String> controlAddresses,
      String id,
      String address,
      String service,
      int slots,
      boolean engine,
      Handler handler) {
    this.record = record;
    this.controlAddresses = controlAddresses;
    this.id = id;
    this.address = address;
    this.service = service;
    this.slots = slots;
    this.engine = engine;
    this.handler = handler;
    BY_ADDRESS.put(address, this);
  }

  /** Starts a lifetime, whose first ping is sent after the delay. */
  void start(String version, long firstPingDelayMillis) throws IOException {
    life = new Life(version, firstPingDelayMillis);
    record.add(id + " starts with version " + version + ", born " + life.bornMillis);
  }

  /** Stands still for some time: accepts, reads, runs and writes nothing. */
  void standStill(long millis) {
    record.add(id + " stands still for " + millis + " ms");
    pausedUntilMillis = System.currentTimeMillis() + millis;
  }

  private void awaitPauseEnd() {
    while (System.currentTimeMillis() < pausedUntilMillis) {
      pause(5);
    }
  }

  /** Ends the lifetime at once, as a crash does. */
  void crash() throws IOException {
    record.add(id + " ends");
    life.end();
  }

  Life life() {
    return life;
  }

  /**
   * Runs a stream: events with ids from 1, each naming its version; goes on after the last event
   * that the request names, from a copy if it names one.
   */
  static void stream(Runner runner, Call call, int events, int eventMillis) throws Exception {
    Life life = call.life();
    String from = call.headers().getOrDefault("kv-from", "");
    Run run = new Run(call.attemptId());
    if (!from.isEmpty()) {
      Run copied = life.copies.remove(from);
      if (copied == null) {
        runner.record.add(runner.id + " has no copy " + from + ": 503, not run");
        call.refuse(503);
        return;
      }
    }
    run.made = Integer.parseInt(call.headers().getOrDefault("last-event-id", "0"));
    int first = run.made;
    life.runs.put(run.id, run);
    runner.record.add(
        runner.id + " (" + life.version + ") runs " + run.id + " after event " + first
            + (from.isEmpty() ? "" : " from " + from));
    String backup = call.headers().getOrDefault("kv-backup", "");
    Runner backupRunner = BY_ADDRESS.get(backup);
    if (backupRunner != null && backupRunner.life != null) {
      backupRunner.life.copies.put(backup + "/" + run.id, run);
    }
    OutputStream out = call.out();
    try {
      out.write(
          ("HTTP/1.1 200 OK\r\nAttempt-Id: " + run.id + "\r\nResponse-Seal: seal-" + run.id
                  + "\r\nContent-Type: text/event-stream\r\n"
                  + (runner.unframed ? "" : "Transfer-Encoding: chunked\r\n") + "\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
      while (run.made < events) {
        pause(eventMillis);
        runner.awaitPauseEnd();
        if (run.stopped || life.ended) {
          call.socket().close();
          return;
        }
        run.made++;
        WORK.add(new Work(run.id, runner.id, System.nanoTime(), run.made == first + 1));
        String event =
            "id: " + run.made + "\ndata: " + runner.id + " " + life.version + "\n\n";
        try {
          String part =
              runner.unframed
                  ? event
                  : Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
          out.write(part.getBytes(StandardCharsets.ISO_8859_1));
          out.flush();
        } catch (IOException e) {
          if (!runner.keepsRunning) {
            throw e;
          }
        }
      }
      runner.record.add(runner.id + " (" + life.version + ") has finished " + run.id);
      if (runner.unframed) {
        call.socket().close();
        return;
      }
      out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    } finally {
      life.runs.remove(run.id);
    }
  }

  static String field(String json, String name) {
    Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
    return matcher.find() ? matcher.group(1) : "";
  }

  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static Thread daemon(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
