package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against the second, late answer of a backend server that reaches a caller. */
@Timeout(120)
class StutteringBackendsTest extends RoutedFleetFixture {
  private static final int BACKENDS = 3;
  private static final int CALLERS = 24;
  private static final long DURATION_MILLIS = 4_000;
  private static final List<String> PATHS = List.of("/pages/", "/holds/", "/tags/", "/drafts/");
  private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

  private final ConcurrentLinkedQueue<Reply> replies = new ConcurrentLinkedQueue<>();

  /** What a caller got. */
  private record Reply(
      String id, String path, int status, boolean sealed, boolean complete, String body) {}

  @Test
  void no_caller_gets_the_late_second_answer_of_a_backend_server() throws Exception {
    long seed = Long.getLong("seed", 1);
    List<StutteringBackend> scripts = new ArrayList<>();
    List<FakeBackend> backends = new ArrayList<>();
    for (int i = 0; i < BACKENDS; i++) {
      scripts.add(new StutteringBackend(seed + i));
      backends.add(new FakeBackend(scripts.get(i)));
      register("i-" + i, backends.get(i), "ready", 1);
    }
    try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      List<Future<?>> running = new ArrayList<>();
      long endMillis = System.currentTimeMillis() + DURATION_MILLIS;
      for (int i = 0; i < CALLERS; i++) {
        int caller = i;
        running.add(
            callers.submit(
                () -> {
                  call(caller, endMillis);
                  return null;
                }));
      }
      for (Future<?> each : running) {
        each.get();
      }
    } finally {
      for (FakeBackend backend : backends) {
        backend.close();
      }
    }

    List<StutteringBackend.Answer> answers =
        scripts.stream().flatMap(script -> script.answers().stream()).toList();
    long successes = replies.stream().filter(reply -> reply.status() == 200).count();
    System.out.printf(
        "stuttering backends: seed %d, %d replies, %d successes, %d answers of servers%n",
        seed, replies.size(), successes, answers.size());
    assertThat(violations(answers)).isEmpty();
    assertThat(successes).isGreaterThan(CALLERS);
  }

  // ---- callers ----------------------------------------------------------------------------------

  private void call(int caller, long endMillis) throws Exception {
    Socket connection = null;
    InputStream in = InputStream.nullInputStream();
    for (int i = 0; System.currentTimeMillis() < endMillis; i++) {
      if (connection == null) {
        connection = new BoundedSocket(callerAddress);
        in = new BufferedInputStream(connection.getInputStream());
      }
      String id = "c" + caller + "-" + i;
      String path = PATHS.get((caller + i) % PATHS.size());
      String head =
          "POST %s1 HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: %s\r\n".formatted(path, id);
      try {
        FakeBackend.write(
            connection, head + "Deadline-Ms: 3000\r\nX-Api-Key: k1\r\nContent-Length: 2\r\n\r\nhi");
        if (!readReply(id, path, in)) {
          connection.close();
          connection = null;
        }
      } catch (EOFException | SocketException e) {
        connection.close();
        connection = null;
      }
    }
    if (connection != null) {
      connection.close();
    }
  }

  /** Reads a response; returns whether it was complete. */
  private boolean readReply(String id, String path, InputStream in) throws IOException {
    String statusLine = RawHttp.readLine(in);
    Map<String, String> headers = RawHttp.readHeaders(in);
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean complete = true;
    try {
      RawHttp.readBody(in, headers, body);
    } catch (EOFException | SocketException e) {
      complete = false;
    }
    String text = body.toString(StandardCharsets.UTF_8);
    int status = Integer.parseInt(statusLine.split(" ", 3)[1]);
    boolean sealed = headers.containsKey("response-seal");
    replies.add(new Reply(id, path, status, sealed, complete, text));
    return complete;
  }

  // ---- verdict ----------------------------------------------------------------------------------

  private List<String> violations(List<StutteringBackend.Answer> answers) {
    Map<String, List<StutteringBackend.Answer>> byId = new HashMap<>();
    answers.forEach(each -> byId.computeIfAbsent(each.id(), id -> new ArrayList<>()).add(each));
    List<String> violations = new ArrayList<>();
    for (Reply reply : replies) {
      List<StutteringBackend.Answer> own = byId.getOrDefault(reply.id(), List.of());
      boolean repeatable = reply.path().equals("/pages/") || reply.path().equals("/tags/");
      boolean stream = reply.path().equals("/tags/") || reply.path().equals("/drafts/");
      long runs = own.stream().filter(StutteringBackend.Answer::ran).count();
      if (!repeatable && runs > 1) {
        violations.add("ran twice: " + reply);
      }
      if (NOT_RUN.contains(reply.status()) && runs > 0 && !repeatable) {
        violations.add("refused and ran: " + reply);
      }
      if (reply.status() == 200 && stream) {
        addStreamViolation(reply, violations);
      } else if (reply.sealed()
          && own.stream()
              .noneMatch(
                  answer ->
                      answer.status() == reply.status() && answer.body().equals(reply.body()))) {
        violations.add("not its own whole answer: " + reply + ", servers: " + own);
      }
    }
    return violations;
  }

  private static void addStreamViolation(Reply reply, List<String> violations) {
    StringBuilder whole = new StringBuilder();
    for (int i = 1; i <= StutteringBackend.EVENTS; i++) {
      whole.append(StutteringBackend.event(reply.id(), i));
    }
    boolean own =
        reply.complete()
            ? reply.body().contentEquals(whole)
            : whole.toString().startsWith(reply.body());
    if (!own) {
      violations.add("foreign or missing part of a stream: " + reply);
    }
  }
}
