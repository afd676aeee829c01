import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Requests whose path or query holds a letter outside ASCII, sent as it is in UTF-8. */
final class RawTarget {
  static final String MANIFEST =
      "{\"version\":1,\"routes\":[{\"name\":\"page\",\"host\":\"site.example\",\"pathPrefix\":\"/page/\","
          + "\"kind\":\"idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":386,\"priority\":2,"
          + "\"service\":\"app\",\"attempts\":2}],\"services\":[{\"name\":\"app\",\"healthPath\":"
          + "\"/health\",\"maxConns\":100,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
          + "\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
          + "\"idleTimeoutMs\":15000}}";

  public static void main(String[] arguments) throws Exception {
    Path repository = Path.of(arguments[0]);
    Path folder = Path.of(arguments[1]);
    Record record = new Record(Path.of(arguments[2]));
    boolean trouble = arguments[3].equals("1");
    int exit;
    try (Fleet fleet = new Fleet(repository, folder, record)) {
      for (int number = 1; number <= Fleet.CONTROLS; number++) {
        fleet.startControl(number, true);
      }
      fleet.startGateway(1);
      if (!fleet.order("PUT", "/api/config", MANIFEST, 30_000) || !fleet.awaitReady(1, 20_000)) {
        record.add("the fleet did not start");
        System.exit(2);
      }
      try (PlainRunner runner =
          new PlainRunner("i-1", "app", fleet.standInAddress(1), fleet.controlAddresses(), record)) {
        if (!runner.awaitRegistered(10_000)) {
          record.add("the runner was not registered");
          System.exit(2);
        }
        Thread.sleep(500);
        // An open e, as in Twi: sent as it is, or percent-encoded.
        String letter =
            trouble
                ? new String("\u025b".getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1)
                : "%C9%9B";
        int answered = 0;
        int changed = 0;
        String[] targets = {"/page/s" + letter + "m", "/page/1?title=s" + letter + "m"};
        for (int i = 0; i < targets.length; i++) {
          String id = "request-" + i;
          String line = "GET " + targets[i] + " HTTP/1.1";
          record.add("client sends " + id + ": " + PlainRunner.visible(line));
          try (Socket socket = Http.connect(fleet.frontAddress(1), 5_000)) {
            Http.write(
                socket,
                line + "\r\nHost: site.example\r\nAttempt-Id: " + id
                    + "\r\nDeadline-Ms: 3000\r\nConnection: close\r\n\r\n");
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            answered += answer == null ? 0 : 1;
            record.add(
                "client gets for " + id + ": "
                    + (answer == null ? "no answer" : answer.line() + " " + answer.body()));
          }
          String ran = runner.lineOf(id);
          changed += ran != null && !ran.equals(line) ? 1 : 0;
        }
        // A refusal would break no rule: nothing else than what was sent may run.
        exit = changed > 0 ? 1 : answered == targets.length ? 0 : 2;
        record.add(
            exit == 1
                ? "BROKEN: " + changed + " requests ran with another path or query than was sent"
                : "held");
      }
    }
    System.exit(exit);
  }
}
