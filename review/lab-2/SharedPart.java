import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Collection;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One part of prompts crashes each engine that begins to write an answer on it. Checks whether
 * sound requests with the same first part still begin.
 */
final class SharedPart {
  private static final int CONTACT_MILLIS = 3_000;
  private static final int SOUND_MILLIS = 900;
  private static final int BACK_MILLIS = 3_000;
  private static final int MIN_REQUESTS = 20;
  private static final String BAD_PART = "bad0";

  private final Record record;
  private final Fleet fleet;
  private final Collection<Outcome> outcomes = new ConcurrentLinkedQueue<>();
  private final AtomicInteger crashes = new AtomicInteger();
  private volatile double lastCrashAt;
  private volatile boolean ended;

  /** Whether a sound request that was sent at a time has begun to be answered. */
  private record Outcome(double sentAt, boolean begun) {}

  private SharedPart(Record record, Fleet fleet) {
    this.record = record;
    this.fleet = fleet;
  }

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record = new Record(Path.of(arguments[0]));
    int result = 2;
    try (Fleet fleet = new Fleet(record, 3, 2)) {
      result = new SharedPart(record, fleet).run(trouble);
      record.write();
    } catch (Throwable e) {
      // Also an Error: a script that could not run must not end with the status of a broken rule.
      result = 2;
      record.add("could not run: " + e);
      record.writeIfPossible();
    }
    System.exit(result);
  }

  private int run(boolean trouble) throws Exception {
    fleet.configure(
        Documents.document(
            1,
            Documents.route("tags", "/tags/", "stream", 6_000, 1_500, "model", 1, false),
            Documents.engineService("model")));
    Runner[] engines = new Runner[6];
    for (int i = 0; i < engines.length; i++) {
      int number = i;
      engines[i] =
          new Runner(
              record, fleet.controlAddresses(), "engine-" + (i + 1),
              fleet.address(201 + i) + ":9000", "model", 24, true,
              call -> answer(engines[number], call));
      engines[i].start("v1", 0);
    }
    Runner.pause(2_500);
    soundRequests(25);
    double troubleAt = record.seconds();
    if (trouble) {
      // The latest sound request has been answered by now.
      Runner.pause(300);
      for (int i = 0; i < 3; i++) {
        badRequest(i);
        Runner.pause(150);
      }
      Runner.daemon(this::badRequests);
    }
    lastCrashAt = record.seconds();
    soundRequests(40);
    ended = true;
    return judge(troubleAt);
  }

  /** Sends sound requests at equal intervals, to the gateways in turn. */
  private void soundRequests(int count) throws Exception {
    for (int i = 0; i < count; i++) {
      InetSocketAddress gateway = fleet.caller(i % 2);
      Runner.daemon(() -> soundRequest(gateway));
      Runner.pause(i + 1 < count ? SOUND_MILLIS : 50);
    }
  }

  private void soundRequest(InetSocketAddress gateway) {
    double sentAt = record.seconds();
    Caller.Stream stream = send(gateway, "sound", "b2:80");
    outcomes.add(new Outcome(sentAt, !stream.events.isEmpty()));
    record.add(
        stream.id + " status " + stream.status + ", " + stream.events.size() + " events"
            + (stream.complete ? ", complete" : ""));
  }

  private void badRequest(int number) throws Exception {
    InetSocketAddress gateway = fleet.caller(number % 2);
    Runner.daemon(
        () -> {
          Caller.Stream stream = send(gateway, "bad", BAD_PART + ":80");
          record.add(stream.id + " status " + stream.status);
        });
  }

  private void badRequests() {
    try {
      for (int i = 0; !ended; i++) {
        Runner.pause(2_000);
        badRequest(i);
      }
    } catch (Exception e) {
      record.add("no more bad requests: " + e);
    }
  }

  private Caller.Stream send(InetSocketAddress gateway, String kind, String secondPart) {
    String id = Caller.newId(kind);
    String headers =
        "Model: m\r\nToken-Count: 400,40\r\nPrompt-Prefix: a1:200," + secondPart + ","
            + Integer.toHexString(id.hashCode()) + ":120\r\nDeadline-Ms: 6000\r\n";
    return Caller.stream(
        gateway, Caller.request("POST", "/tags/1", id, headers, id.getBytes()), id, 7_000);
  }

  private void answer(Runner engine, Runner.Call call) throws Exception {
    if (!call.headers().getOrDefault("prompt-prefix", "").contains(BAD_PART)) {
      Runner.stream(engine, call, 5, 40);
      return;
    }
    Runner.pause(40);
    lastCrashAt = record.seconds();
    record.add(engine.id + " crashes on " + call.attemptId() + ", crash " + crashes.incrementAndGet());
    call.life().end();
    Runner.daemon(
        () -> {
          Runner.pause(BACK_MILLIS);
          try {
            engine.start("v1", 0);
          } catch (java.io.IOException e) {
            record.add(engine.id + " did not start again: " + e);
          }
        });
  }

  private int judge(double troubleAt) {
    double afterAt = lastCrashAt + 2 * CONTACT_MILLIS / 1e3;
    long before = 0;
    long begunBefore = 0;
    long after = 0;
    long begunAfter = 0;
    for (Outcome outcome : outcomes) {
      if (outcome.sentAt() < troubleAt) {
        before++;
        begunBefore += outcome.begun() ? 1 : 0;
      } else if (outcome.sentAt() > afterAt) {
        after++;
        begunAfter += outcome.begun() ? 1 : 0;
      }
    }
    record.add(
        "sound requests: " + begunBefore + " of " + before + " began before; " + begunAfter
            + " of " + after + " later than twice contactMs after crash " + crashes);
    if (before < MIN_REQUESTS || after < MIN_REQUESTS) {
      return 2;
    }
    return begunAfter * before * 2 < begunBefore * after ? 1 : 0;
  }
}
