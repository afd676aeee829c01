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
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.IntPredicate;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against the second, late answer of a backend server that reaches a caller. */
@Timeout(120)
class StutteringBackendsTest extends RoutedFleetFixture {
  private static final int BACKENDS = 3;
  private static final int CALLERS = 24;
  private static final int CALLERS_BESIDE_COPIES = 45;
  private static final int REQUESTS_BESIDE_COPIES = 24;
  private static final long DURATION_MILLIS = 4_000;
  private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);
  private static final Call PAGE = new Call("GET", "/pages/", 3_000);
  private static final Call HOLD = new Call("POST", "/holds/", 3_000);
  private static final Call TAGS = new Call("POST", "/tags/", 3_000);
  private static final Call DRAFT = new Call("POST", "/drafts/", 3_000);

  private static final String THREE_ATTEMPTS =
      CATALOG
          .formatted(2)
          .replace(
              "\"service\":\"plain\",\"attempts\":2}", "\"service\":\"plain\",\"attempts\":3}");

  private final ConcurrentLinkedQueue<Reply> replies = new ConcurrentLinkedQueue<>();

  /** A kind of request. */
  private record Call(String method, String path, int deadlineMillis) {
    Call within(int millis) {
      return new Call(method, path, millis);
    }
  }

  /** What a caller got. */
  private record Reply(
      String id, String path, int status, boolean sealed, boolean complete, String body) {}

  @Test
  void no_caller_gets_the_late_second_answer_of_a_backend_server() throws Exception {
    List<Call> calls = List.of(new Call("POST", "/pages/", 3_000), HOLD, TAGS, DRAFT);
    long seed = Long.getLong("seed", 1);
    List<StutteringBackend> scripts = new ArrayList<>();
    for (int i = 0; i < BACKENDS; i++) {
      scripts.add(new StutteringBackend(seed + i));
    }
    List<FakeBackend> backends = start(scripts);
    long endMillis = System.currentTimeMillis() + DURATION_MILLIS;
    play(backends, CALLERS, calls, sent -> System.currentTimeMillis() < endMillis);

    verify(
        "stuttering backends", scripts.stream().flatMap(each -> each.answers().stream()).toList());
  }

  @Test
  void no_copy_lends_its_status_to_the_next_answer_with_resumable_streams_and_long_deadlines()
      throws Exception {
    List<Call> calls = List.of(HOLD, PAGE, HOLD, TAGS, HOLD, PAGE, HOLD, DRAFT, HOLD);
    playCopies("resumable streams, long deadlines", calls);
  }

  @Test
  void no_copy_lends_its_status_to_the_next_answer_with_resumable_streams_and_short_deadlines()
      throws Exception {
    Call page = PAGE.within(600);
    Call hold = HOLD.within(600);
    List<Call> calls = List.of(hold, page, hold, TAGS, hold, page, hold, DRAFT, hold);
    playCopies("resumable streams, short deadlines", calls);
  }

  @Test
  void no_copy_lends_its_status_to_the_next_answer_with_streams_that_are_not_resumable()
      throws Exception {
    Call page = PAGE.within(1_500);
    Call hold = HOLD.within(1_500);
    List<Call> calls = List.of(hold, page, hold, DRAFT, hold, page, hold, DRAFT, hold);
    playCopies("no resumable streams", calls);
  }

  private void playCopies(String title, List<Call> calls) throws Exception {
    putCatalog(THREE_ATTEMPTS);
    long seed = Long.getLong("seed", 1);
    List<CopyingBackend> scripts = new ArrayList<>();
    for (int i = 0; i < BACKENDS; i++) {
      scripts.add(new CopyingBackend(seed + i));
    }
    play(start(scripts), CALLERS_BESIDE_COPIES, calls, sent -> sent < REQUESTS_BESIDE_COPIES);

    verify(title, scripts.stream().flatMap(each -> each.answers().stream()).toList());
  }

  private List<FakeBackend> start(List<? extends FakeBackend.ResponseScript> scripts)
      throws Exception {
    List<FakeBackend> backends = new ArrayList<>();
    for (int i = 0; i < scripts.size(); i++) {
      backends.add(new FakeBackend(scripts.get(i)));
      register("i-" + i, backends.get(i), "ready", 1);
    }
    return backends;
  }

  private void play(
      List<FakeBackend> backends, int callerCount, List<Call> calls, IntPredicate sendsNext)
      throws Exception {
    try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      List<Future<?>> running = new ArrayList<>();
      for (int i = 0; i < callerCount; i++) {
        int caller = i;
        running.add(
            callers.submit(
                () -> {
                  call(caller, calls, sendsNext);
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
  }

  private void verify(String title, List<StutteringBackend.Answer> answers) {
    long successes = replies.stream().filter(reply -> reply.status() == 200).count();
    System.out.printf(
        "%s: seed %d, %d replies, %d successes, %d answers of servers, %s%n",
        title, Long.getLong("seed", 1), replies.size(), successes, answers.size(), shares());
    assertThat(violations(answers)).isEmpty();
    assertThat(successes).isGreaterThan(CALLERS);
  }

  /** Returns how often each status came, by path. */
  private Map<String, Long> shares() {
    return replies.stream()
        .collect(
            Collectors.groupingBy(
                reply -> reply.path() + reply.status() + (reply.complete() ? "" : " cut"),
                TreeMap::new,
                Collectors.counting()));
  }

  // ---- callers ----------------------------------------------------------------------------------

  private void call(int caller, List<Call> calls, IntPredicate sendsNext) throws Exception {
    Socket connection = null;
    InputStream in = InputStream.nullInputStream();
    for (int i = 0; sendsNext.test(i); i++) {
      if (connection == null) {
        connection = new BoundedSocket(callerAddress);
        in = new BufferedInputStream(connection.getInputStream());
      }
      String id = "c" + caller + "-" + i;
      Call kind = calls.get((caller + i) % calls.size());
      String path = kind.path();
      String head =
          "%s %s1 HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n"
              .formatted(kind.method(), path, id, kind.deadlineMillis());
      String end = kind.method().equals("GET") ? "\r\n" : "Content-Length: 2\r\n\r\nhi";
      try {
        FakeBackend.write(connection, head + "X-Api-Key: k1\r\n" + end);
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
      if (reply.status() == 200 && !reply.sealed()) {
        violations.add("a success without a seal: " + reply);
      } else if (reply.status() == 200 && stream) {
        addStreamViolation(reply, own, violations);
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

  private static void addStreamViolation(
      Reply reply, List<StutteringBackend.Answer> answers, List<String> violations) {
    if (answers.stream().noneMatch(answer -> answer.status() == 200)) {
      violations.add("a success where the servers answered " + answers + ": " + reply);
    }
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
