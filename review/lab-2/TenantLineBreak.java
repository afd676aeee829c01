import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A change of the configuration names a tenant with a line break at its end. Checks whether the
 * backend server gets the requests of that tenant as they were sent.
 */
final class TenantLineBreak {
  private static final int REQUESTS = 20;

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
    String routes =
        Documents.withKey(
            Documents.route("holds", "/holds/", "non_idempotent", 1_500, 300, "desk", 1, false));
    String service = Documents.plainService("desk");
    fleet.configure(
        Documents.withTenants(
            Documents.document(1, routes, service), Documents.tenant("lounge", "key-1")));
    Map<String, String> sent = new ConcurrentHashMap<>();
    AtomicInteger runs = new AtomicInteger();
    AtomicInteger changed = new AtomicInteger();
    new Runner(
            record, fleet.controlAddresses(), "desk-1", fleet.address(201) + ":9000", "desk", 6,
            false,
            call -> {
              runs.incrementAndGet();
              String body = new String(call.body(), StandardCharsets.UTF_8);
              boolean same = body.equals(sent.get(call.attemptId()));
              changed.addAndGet(same ? 0 : 1);
              record.add(
                  "runs " + call.method() + " " + call.path() + " of " + call.attemptId()
                      + " with tenant \"" + call.headers().getOrDefault("tenant", "")
                      + "\" and body \"" + body + "\"" + (same ? "" : ", not as sent"));
              call.answer(200, "", "held".getBytes(StandardCharsets.US_ASCII));
            })
        .start("v1", 0);
    Runner.pause(2_500);
    String name = trouble ? "lounge\\n" : "lounge-2";
    fleet.change(
        Documents.withTenants(
            Documents.document(2, routes, service), Documents.tenant(name, "key-1")));
    Runner.pause(500);
    InetSocketAddress gateway = fleet.caller(0);
    for (int i = 0; i < REQUESTS; i++) {
      String id = Caller.newId("h");
      String body = "seat=" + i + "&guest=42";
      sent.put(id, body);
      byte[] request =
          Caller.request(
              "POST", "/holds/seat", id, "X-Api-Key: key-1\r\nDeadline-Ms: 1500\r\n",
              body.getBytes(StandardCharsets.UTF_8));
      try {
        Http.Response response = Http.exchange(gateway, request, 2_500);
        record.add(id + " with body \"" + body + "\" answered " + response.status());
      } catch (java.io.IOException e) {
        record.add(id + " with body \"" + body + "\" got no answer");
      }
    }
    record.add(changed + " of " + runs + " runs had another body than the request");
    return runs.get() == 0 ? 2 : changed.get() > 0 ? 1 : 0;
  }
}
