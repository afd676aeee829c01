import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * Faults that were seen beside the five cases. The first argument names the trial, the second one
 * the file of the record; exits with 1 if the fault shows.
 */
final class Trials {
  private final Record record;
  private final Fleet fleet;
  private volatile boolean shown;
  private volatile boolean ran;

  private Trials(Record record, Fleet fleet) {
    this.record = record;
    this.fleet = fleet;
  }

  public static void main(String[] arguments) throws Exception {
    Record record = new Record(Path.of(arguments[1]));
    int result = 2;
    try (Fleet fleet = new Fleet(record, 1, 1)) {
      Trials trials = new Trials(record, fleet);
      switch (arguments[0]) {
        case "first-version" -> trials.firstVersion();
        case "tenant-names" -> trials.tenantNames();
        case "event-ids" -> trials.eventIds();
        case "raw-path" -> trials.rawPath();
        case "restarted-server" -> trials.restartedServer();
        default -> throw new IllegalArgumentException("no trial " + arguments[0]);
      }
      result = trials.shown ? 1 : trials.ran ? 0 : 2;
      record.write();
    } catch (Throwable e) {
      // Also an Error: a script that could not run must not end with the status of a broken rule.
      result = 2;
      record.add("could not run: " + e);
      record.writeIfPossible();
    }
    System.exit(result);
  }

  /** The first configuration has version 0: it is acknowledged, and gone when it is read. */
  private void firstVersion() throws Exception {
    String document =
        Documents.document(
            0,
            Documents.route("pages", "/pages/", "idempotent", 1_500, 300, "archive", 1, false),
            Documents.plainService("archive"));
    Http.Response written = null;
    for (int i = 0; i < 60 && (written == null || written.status() == 503); i++) {
      Runner.pause(250);
      try {
        written = call("PUT", document);
      } catch (IOException e) {
        // The host does not listen yet.
      }
    }
    Runner.pause(2_500);
    Http.Response read = call("GET", "");
    record.add("written: " + (written == null ? "no answer" : written.status() + ""));
    record.add("read 2.5 s later: " + read.status() + " " + read.text());
    ran = written != null;
    shown = written != null && written.status() == 200 && read.status() != 200;
  }

  private Http.Response call(String method, String document) throws IOException {
    return Http.call(
        Http.address(fleet.controlAddresses().get(0)), method, "/api/config", document, 4_000);
  }

  /** The names of two tenants are in Hangul: the backend server gets the same for both. */
  private void tenantNames() throws Exception {
    String document =
        Documents.withTenants(
            Documents.document(
                1,
                Documents.withKey(
                    Documents.route("checks", "/checks/", "idempotent", 1_500, 300, "desk", 1, false)),
                Documents.plainService("desk")),
            Documents.tenant("\\uc778\\ucc9c", "key-1"),
            Documents.tenant("\\ubd80\\uc0b0", "key-2"));
    String[] tenants = new String[2];
    startPlain(
        document,
        "desk",
        call -> {
          int key = Integer.parseInt(call.attemptId().substring(0, 1));
          tenants[key - 1] = call.headers().get("tenant");
          record.add("runs a request with key-" + key + " for tenant " + tenants[key - 1]);
          call.answer(200, "", new byte[2]);
        });
    for (int key = 1; key <= 2; key++) {
      send("GET", "/checks/pass", key + "-x", "X-Api-Key: key-" + key + "\r\n");
    }
    ran = tenants[0] != null && tenants[1] != null;
    shown = ran && tenants[0].equals(tenants[1]);
  }

  /** Ids that increase but are no whole numbers: events are dropped, the stream ends as complete. */
  private void eventIds() throws Exception {
    String document =
        Documents.document(
            1,
            Documents.route("tags", "/tags/", "stream", 6_000, 1_500, "model", 2, true),
            Documents.plainService("model"));
    String[] ids = {"474-8", "474-9", "474-10", "475-0", "475-1", "475-2", "475-10"};
    startPlain(document, "model", call -> events(call, ids));
    Http.Response response = send("POST", "/tags/1", "t-1", "");
    int received = response.text().split("id: ", -1).length - 1;
    record.add(
        received + " of " + ids.length + " events received, complete: " + response.complete());
    ran = response.status() == 200;
    shown = ran && response.complete() && received < ids.length;
  }

  private static void events(Runner.Call call, String[] ids) throws IOException {
    OutputStream out = call.out();
    out.write(
        ("HTTP/1.1 200 OK\r\nAttempt-Id: " + call.attemptId() + "\r\nResponse-Seal: seal\r\n"
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
    for (String id : ids) {
      String event = "id: " + id + "\ndata: piece\n\n";
      out.write(
          (Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
      Runner.pause(20);
    }
    out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** A path with bytes beyond ASCII arrives with other bytes. */
  private void rawPath() throws Exception {
    String document =
        Documents.document(
            1,
            Documents.route("pages", "/pages/", "idempotent", 1_500, 300, "archive", 1, false),
            Documents.plainService("archive"));
    // The UTF-8 bytes of an e with an acute accent, one character each.
    String path = "/pages/caf\u00c3\u00a9";
    startPlain(
        document,
        "archive",
        call -> {
          ran = true;
          shown = !call.path().equals(path);
          record.add("path " + (shown ? "changed" : "as sent") + ", " + call.path().length()
              + " bytes instead of " + path.length());
          call.answer(200, "", new byte[2]);
        });
    send("GET", path, "p-1", "");
  }

  /**
   * A gateway freezes while a plain server crashes in the middle of an answer without length and
   * starts again under its id: the caller gets the first half as the whole answer.
   */
  private void restartedServer() throws Exception {
    String half = "half of an answer";
    fleet.configure(
        Documents.document(
            1,
            Documents.route("pages", "/pages/", "non_idempotent", 9_000, 300, "archive", 1, false),
            Documents.plainService("archive")));
    Runner server =
        new Runner(
            record, fleet.controlAddresses(), "server-1", fleet.address(201) + ":9000", "archive",
            6, false,
            call -> {
              call.out()
                  .write(
                      ("HTTP/1.1 200 OK\r\nAttempt-Id: " + call.attemptId()
                              + "\r\nResponse-Seal: seal\r\n\r\n" + half)
                          .getBytes(StandardCharsets.ISO_8859_1));
              call.out().flush();
              Runner.pause(2_000);
              call.out().write(half.getBytes(StandardCharsets.ISO_8859_1));
              call.socket().close();
            });
    server.start("v1", 0);
    Runner.pause(2_500);
    Http.Response[] response = new Http.Response[1];
    Thread caller =
        Runner.daemon(
            () -> {
              try {
                response[0] = send("GET", "/pages/1", "p-1", "");
              } catch (IOException e) {
                record.add("no answer: " + e);
              }
            });
    Runner.pause(500);
    Process gateway = fleet.process(fleet.gatewayHost(0));
    signal(gateway, "STOP");
    server.crash();
    Runner.pause(1_500);
    server.start("v1", 0);
    Runner.pause(1_000);
    signal(gateway, "CONT");
    caller.join(8_000);
    ran = response[0] != null;
    shown = ran && response[0].status() == 200 && response[0].text().equals(half);
    record.add(ran ? "status " + response[0].status() + ": " + response[0].text() : "no answer");
  }

  private static void signal(Process process, String name) throws Exception {
    new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
  }

  private void startPlain(String document, String service, Runner.Handler handler)
      throws Exception {
    fleet.configure(document);
    new Runner(
            record, fleet.controlAddresses(), "server-1", fleet.address(201) + ":9000", service, 6,
            false, handler)
        .start("v1", 0);
    Runner.pause(2_500);
  }

  private Http.Response send(String method, String path, String id, String headers)
      throws IOException {
    byte[] request =
        Caller.request(method, path, id, headers + "Deadline-Ms: 6000\r\n", new byte[0]);
    Http.Response response = Http.exchange(fleet.caller(0), request, 7_000);
    record.add(id + " answered " + response.status());
    return response;
  }
}
