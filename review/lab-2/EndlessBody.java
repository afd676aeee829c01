import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Collection;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A faulty backend server sends bytes without end in the body of one answer: lines of a log that
 * quote status lines. Checks whether the gateway still answers the other requests in time.
 */
final class EndlessBody {
  private static final int TIMEOUT_MILLIS = 1_500;
  private static final int GRACE_MILLIS = 500;
  private static final int OBSERVED_MILLIS = 15_000;

  /** What became of one request; times are in milliseconds since it was sent. */
  private record Outcome(String id, double sentAt, int status, long millis) {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record = new Record(Path.of(arguments[0]));
    int result = 2;
    try (Fleet fleet = new Fleet(record, 3, 1)) {
      result = run(fleet, record, trouble);
      record.write();
    } catch (Throwable e) {
      // Also an Error: a script that could not run must not end with the status of a broken rule.
      result = 2;
      record.add("could not run: " + e);
      record.writeIfPossible();
    }
    System.exit(result);
  }

  private static int run(Fleet fleet, Record record, boolean trouble) throws Exception {
    fleet.configure(
        Documents.document(
            1,
            Documents.route(
                "pages", "/pages/", "idempotent", TIMEOUT_MILLIS, 300, "archive", 1, false),
            Documents.plainService("archive")));
    for (int i = 1; i <= 3; i++) {
      new Runner(
              record, fleet.controlAddresses(), "archive-" + i, fleet.address(200 + i) + ":9000",
              "archive", 6, false, call -> answer(call, record, trouble))
          .start("v1", 0);
    }
    Runner.pause(2_500);
    InetSocketAddress gateway = fleet.caller(0);
    Collection<Outcome> outcomes = new ConcurrentLinkedQueue<>();
    Runner.daemon(() -> requests(gateway, outcomes, record));
    Runner.pause(2_000);
    record.add("the request with the endless answer is sent");
    double troubleAt = record.seconds();
    Runner.daemon(() -> request(gateway, "/pages/report", outcomes, record));
    Runner.pause(OBSERVED_MILLIS);
    return judge(outcomes, record, troubleAt);
  }

  /** Applies the rule to the requests that were sent early enough to be observed to the end. */
  private static int judge(Collection<Outcome> outcomes, Record record, double troubleAt) {
    double observedUntil = record.seconds() - (TIMEOUT_MILLIS + GRACE_MILLIS) / 1e3 - 0.5;
    long overdue = 0;
    long unanswered = 0;
    long sent = 0;
    long missingBefore = 0;
    for (Outcome outcome : outcomes) {
      if (outcome.sentAt() >= observedUntil) {
        continue;
      }
      sent++;
      boolean late = outcome.status() == 0 || outcome.millis() > TIMEOUT_MILLIS;
      boolean missing = outcome.status() == 0 || outcome.millis() > TIMEOUT_MILLIS + GRACE_MILLIS;
      overdue += late ? 1 : 0;
      unanswered += missing ? 1 : 0;
      missingBefore += missing && outcome.sentAt() < troubleAt - 2 ? 1 : 0;
    }
    record.add(
        sent + " requests, " + overdue + " unanswered at the timeout of their route, " + unanswered
            + " of them " + GRACE_MILLIS + " ms later; " + missingBefore + " long before");
    if (missingBefore > 0 || sent < 20) {
      return 2;
    }
    return overdue > 0 && unanswered * 2 > overdue ? 1 : 0;
  }

  private static void requests(
      InetSocketAddress gateway, Collection<Outcome> outcomes, Record record) {
    while (true) {
      Runner.daemon(() -> request(gateway, "/pages/story", outcomes, record));
      Runner.pause(100);
    }
  }

  private static void request(
      InetSocketAddress gateway, String path, Collection<Outcome> outcomes, Record record) {
    String id = Caller.newId("r");
    byte[] bytes = Caller.request("GET", path, id, "Deadline-Ms: 3000\r\n", new byte[0]);
    double sentAt = record.seconds();
    int status = 0;
    try {
      status = Http.exchange(gateway, bytes, TIMEOUT_MILLIS + GRACE_MILLIS + 200).status();
    } catch (Exception e) {
      // No answer in time.
    }
    long millis = Math.round((record.seconds() - sentAt) * 1e3);
    outcomes.add(new Outcome(id, sentAt, status, millis));
    record.add(
        id + " " + path + (status == 0 ? " no answer" : " answered " + status) + " after " + millis
            + " ms");
  }

  private static void answer(Runner.Call call, Record record, boolean trouble) throws Exception {
    if (!call.path().equals("/pages/report") || !trouble) {
      Runner.pause(60);
      call.answer(200, "", "a story page".repeat(60).getBytes(StandardCharsets.US_ASCII));
      return;
    }
    record.add("the answer without end begins");
    call.out()
        .write(
            ("HTTP/1.1 200 OK\r\nAttempt-Id: " + call.attemptId() + "\r\nResponse-Seal: seal-"
                    + call.attemptId() + "\r\nContent-Type: text/plain\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
    StringBuilder lines = new StringBuilder();
    for (int i = 0; i < 2_000; i++) {
      lines.append(i).append(": HTTP/1.1 200 OK\n");
    }
    byte[] log = lines.toString().getBytes(StandardCharsets.US_ASCII);
    while (true) {
      call.out().write(log);
    }
  }
}
