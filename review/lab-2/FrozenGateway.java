import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A gateway freezes; meanwhile an engine crashes for good and its address goes to another service.
 * Checks whether streams that the crash cut off reach their callers as complete.
 */
final class FrozenGateway {
  private static final int EVENTS = 80;
  private static final int EVENT_MILLIS = 60;
  private static final int STREAMS = 14;
  private static final int REUSE_MILLIS = 2_200;
  private static final int FREEZE_MILLIS = 3_000;

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record = new Record(Path.of(arguments[0]));
    int result = 2;
    try (Fleet fleet = new Fleet(record, 3, 2)) {
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
            Documents.route("drafts", "/drafts/", "stream", 39_000, 1_800, "model", 1, false) + ","
                + Documents.route("pages", "/pages/", "idempotent", 1_500, 300, "archive", 2, false),
            Documents.engineService("model") + "," + Documents.plainService("archive")));
    Runner[] engines = new Runner[7];
    for (int i = 0; i < engines.length; i++) {
      int number = i;
      engines[i] =
          new Runner(
              record, fleet.controlAddresses(), "engine-" + (i + 1),
              fleet.address(201 + i) + ":9000", "model", 24, true,
              call -> Runner.stream(engines[number], call, EVENTS, EVENT_MILLIS));
      engines[i].unframed = true;
      engines[i].start("v1", 0);
    }
    Runner.pause(2_500);
    InetSocketAddress gateway = fleet.caller(0);
    List<Caller.Stream> streams = new CopyOnWriteArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      Runner.daemon(() -> streams.add(request(gateway, record)));
      Runner.pause(60);
    }
    Runner.pause(600);
    if (trouble) {
      freeze(fleet, record, mostUsed(engines));
    }
    long endMillis = System.currentTimeMillis() + EVENTS * EVENT_MILLIS + 8_000;
    while (streams.size() < STREAMS && System.currentTimeMillis() < endMillis) {
      Runner.pause(100);
    }
    int cut = 0;
    for (Caller.Stream stream : streams) {
      boolean wrong = stream.complete && stream.status == 200 && stream.events.size() < EVENTS;
      cut += wrong ? 1 : 0;
      record.add(
          stream.id + " status " + stream.status + ", " + stream.events.size() + " of " + EVENTS
              + " events" + (stream.complete ? ", complete" : ", cut")
              + (wrong ? ": events are missing" : ""));
    }
    record.add(cut + " of " + streams.size() + " streams ended as complete before their last event");
    return streams.size() < STREAMS / 2 ? 2 : cut > 0 ? 1 : 0;
  }

  private static Runner mostUsed(Runner[] engines) {
    Runner most = engines[0];
    for (Runner engine : engines) {
      most = engine.life().runs.size() > most.life().runs.size() ? engine : most;
    }
    return most;
  }

  private static void freeze(Fleet fleet, Record record, Runner engine) throws Exception {
    Process process = fleet.process(fleet.gatewayHost(0));
    record.add("the gateway freezes");
    signal(process, "STOP");
    engine.crash();
    Runner.pause(REUSE_MILLIS);
    new Runner(
            record, fleet.controlAddresses(), "archive-1", engine.address, "archive", 6, false,
            call -> call.answer(200, "", new byte[2]))
        .start("v1", 0);
    Runner.pause(FREEZE_MILLIS - REUSE_MILLIS);
    signal(process, "CONT");
    record.add("the gateway wakes");
  }

  private static void signal(Process process, String name) throws Exception {
    new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
  }

  private static Caller.Stream request(InetSocketAddress gateway, Record record) {
    String id = Caller.newId("d");
    record.add(id + " sent");
    String headers =
        "Model: m\r\nToken-Count: 300,320\r\nLength-Hint: 320\r\nPrompt-Prefix: a1:40,"
            + Integer.toHexString(id.hashCode()) + ":260\r\nDeadline-Ms: 39000\r\n";
    return Caller.stream(
        gateway, Caller.request("POST", "/drafts/1", id, headers, new byte[100]), id, 15_000);
  }
}
