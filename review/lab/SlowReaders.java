import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requesters read long answers slowly. Beside them, others send short requests on kept channels; the
 * rules are checked on these only.
 */
final class SlowReaders {
  private static final int READERS = Integer.getInteger("readers", 20);
  private static final long DURATION_MILLIS = 15_000;
  private static final int ANSWER_BYTES = Integer.getInteger("bytes", 4_000_000);
  private static final int BYTES_PER_SECOND = Integer.getInteger("rate", 300_000);
  private static final int SHORT_REQUESTERS = 30;

  /** As the manifest has it for the route of the short requests. */
  private static final int TIMEOUT_MILLIS = 800;

  private static final int DEADLINE_MILLIS = 1_500;

  private final Map<String, Boolean> run = new ConcurrentHashMap<>();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger failed = new AtomicInteger();

  /** Short requests that a runner ran, and whose kept channel was closed without an answer. */
  private final AtomicInteger closed = new AtomicInteger();

  /** Short requests without an answer at their route's timeout, and half a second later. */
  private final AtomicInteger unansweredAtTimeout = new AtomicInteger();

  private final AtomicInteger unansweredLater = new AtomicInteger();
  private final AtomicInteger longAnswered = new AtomicInteger();
  private final AtomicInteger longLost = new AtomicInteger();
  private final Lab lab;
  private volatile boolean shortEnded;
  private volatile long longEndNanos;

  private SlowReaders(Lab lab) {
    this.lab = lab;
  }

  public static void main(String[] arguments) throws Exception {
    new SlowReaders(new Lab(arguments[0], 3, 1)).play();
  }

  private void play() throws Exception {
    lab.startGateway(1);
    lab.control("PUT", "/api/config", Manifest.text(1), 30_000);
    for (int i = 1; i <= 3; i++) {
      new Runner(
              lab,
              "i-" + i,
              "app",
              "v1",
              24,
              (request, channel) -> {
                run.put(request.header("Attempt-Id"), true);
                Thread.sleep(43);
                boolean longAnswer = request.firstLine.contains("/orders/");
                Runner.answer(request, channel, new byte[longAnswer ? ANSWER_BYTES : 800]);
              })
          .register();
    }
    lab.awaitReady(1);
    Thread.sleep(3_000);
    List<Thread> shortRequesters = new ArrayList<>();
    for (int i = 0; i < SHORT_REQUESTERS; i++) {
      int number = i;
      shortRequesters.add(Runner.thread(() -> shortRequests(number)));
    }
    Thread.sleep(2_000);
    lab.record(
        "%d requesters get answers of %d bytes, and read %s",
        READERS, ANSWER_BYTES, Lab.trouble() ? BYTES_PER_SECOND + " bytes/s" : "at once");
    longEndNanos = System.nanoTime() + DURATION_MILLIS * 1_000_000;
    List<Thread> longRequesters = new ArrayList<>();
    for (int i = 0; i < READERS; i++) {
      int number = i;
      longRequesters.add(Runner.thread(() -> longRequests(number)));
      Thread.sleep(300);
    }
    for (Thread thread : longRequesters) {
      thread.join(30_000);
    }
    Thread.sleep(3_000);
    shortEnded = true;
    for (Thread thread : shortRequesters) {
      thread.join(15_000);
    }
    judge();
  }

  /** Returns whether the gateway answers a request on a new channel within contactMs. */
  private boolean answersNewChannel() {
    try (Socket socket = new Socket()) {
      socket.connect(lab.callerAddress(1), 4_000);
      socket.setSoTimeout(4_000);
      String head = Manifest.head("GET", "/reads/last", "f000000000000001", 4_000, -1) + "\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      return Lab.Http.read(socket.getInputStream(), false, null).status > 0;
    } catch (IOException e) {
      return false;
    }
  }

  private void judge() throws IOException {
    lab.record("3 s after the burst, a new channel is answered within 4 s: %s", answersNewChannel());
    lab.record(
        "long requests: %d answered, %d closed or without an answer",
        longAnswered.get(), longLost.get());
    lab.record(
        "short requests: %d answered with 200, %d with another status; %d run and their kept channel"
            + " closed without an answer; %d unanswered at the route's timeout, %d of them 500 ms later",
        answered.get(),
        failed.get(),
        closed.get(),
        unansweredAtTimeout.get(),
        unansweredLater.get());
    List<String> errors = lab.logLines("front-1", "OutOfMemoryError");
    lab.record("front-1 runs: %s; its log has %d lines on memory", lab.runs("front-1"), errors.size());
    errors.stream().limit(3).forEach(line -> lab.record("%s", line.substring(0, Math.min(400, line.length()))));
    if (answered.get() < 100) {
      lab.verdict(2, "only " + answered.get() + " short requests were served");
    }
    boolean lost = closed.get() > 3;
    boolean late =
        unansweredAtTimeout.get() >= 8 && unansweredLater.get() * 2 > unansweredAtTimeout.get();
    lab.verdict(
        lost || late || !lab.runs("front-1") ? 1 : 0,
        (lost ? "LOST broken; " : "")
            + (late ? "CONFIG (timeoutMs) broken; " : "")
            + closed.get()
            + " closed without an answer, "
            + unansweredLater.get()
            + " of "
            + unansweredAtTimeout.get()
            + " unanswered half a second after the timeout");
  }

  private void longRequests(int requester) {
    for (int number = 0; System.nanoTime() < longEndNanos; number++) {
      String id = String.format("b%03x%012x", requester, number);
      try (Socket socket = new Socket()) {
        if (Lab.trouble()) {
          socket.setReceiveBufferSize(65_536);
        }
        socket.connect(lab.callerAddress(1), 2_000);
        socket.setSoTimeout(20_000);
        String head = Manifest.head("POST", "/orders/" + id, id, 20_000, 0) + "\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        long beganNanos = System.nanoTime();
        long[] read = new long[1];
        Lab.Http answer =
            Lab.Http.read(
                socket.getInputStream(),
                false,
                bytes -> {
                  read[0] += bytes.length;
                  long dueMillis = read[0] * 1_000 / BYTES_PER_SECOND;
                  pause(Lab.trouble() ? dueMillis - (System.nanoTime() - beganNanos) / 1_000_000 : 0);
                });
        if (!answer.complete) {
          throw new IOException("the answer ended after " + answer.body.length + " bytes");
        }
        longAnswered.incrementAndGet();
        lab.record("long request %s: status %d, run: %s", id, answer.status, run.containsKey(id));
        Thread.sleep(500);
      } catch (IOException e) {
        longLost.incrementAndGet();
        lab.record("long request %s: %s, run: %s", id, e.getMessage(), run.containsKey(id));
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void pause(long millis) throws IOException {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  private void shortRequests(int requester) {
    Socket socket = null;
    for (int number = 0; !shortEnded; number++) {
      String id = String.format("a%03x%012x", requester, number);
      boolean kept = socket != null;
      try {
        if (socket == null) {
          socket = new Socket();
          socket.connect(lab.callerAddress(1), 5_000);
        }
        String head = Manifest.head("GET", "/reads/" + id, id, DEADLINE_MILLIS, -1) + "\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        Lab.Http answer = awaitAnswer(socket, id);
        (answer.status == 200 && answer.complete ? answered : failed).incrementAndGet();
        lab.record("short request %s: status %d, run: %s", id, answer.status, run.containsKey(id));
        if (answer.header("connection").contains("close")) {
          socket.close();
          socket = null;
        }
        Thread.sleep(50);
      } catch (IOException e) {
        boolean wasRun = run.containsKey(id);
        lab.record("short request %s: %s, run: %s, kept channel: %s", id, e.getMessage(), wasRun, kept);
        if (wasRun && kept && !(e instanceof java.net.SocketTimeoutException)) {
          closed.incrementAndGet();
        }
        try {
          socket.close();
        } catch (IOException closing) {
          // It is closed.
        }
        socket = null;
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Reads an answer, and counts it if it isn't there at the route's timeout or half a second later. */
  private Lab.Http awaitAnswer(Socket socket, String id) throws IOException {
    java.io.PushbackInputStream in = new java.io.PushbackInputStream(socket.getInputStream());
    int[] waits = {TIMEOUT_MILLIS, 500, DEADLINE_MILLIS - TIMEOUT_MILLIS - 500};
    for (int i = 0; ; i++) {
      try {
        socket.setSoTimeout(waits[i]);
        int octet = in.read();
        if (octet < 0) {
          throw new IOException("the channel ended without an answer");
        }
        in.unread(octet);
        socket.setSoTimeout(DEADLINE_MILLIS);
        return Lab.Http.read(in, false, null);
      } catch (java.net.SocketTimeoutException e) {
        if (i == 0) {
          unansweredAtTimeout.incrementAndGet();
        } else if (i == 1) {
          unansweredLater.incrementAndGet();
          lab.record(
              "short request %s: no answer %d ms after it was sent", id, TIMEOUT_MILLIS + 500);
        } else {
          throw e;
        }
      }
    }
  }
}
