import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;

/**
 * An idle engine starts again under its id with new software, and its first ping arrives late.
 * Checks whether streams hold events of two software versions.
 */
final class RestartedVersion {
  private static final int EVENTS = 70;
  private static final int EVENT_MILLIS = 100;
  private static final int STREAMS = 24;
  private static final int MOST_JOINED = 2;

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record = new Record(Path.of(arguments[0]));
    int result = 2;
    try (Fleet fleet = new Fleet(record, 3, 1)) {
      result = run(fleet, record, trouble, Integer.getInteger("lateMillis", 2_500));
      record.write();
    } catch (Throwable e) {
      // Also an Error: a script that could not run must not end with the status of a broken rule.
      result = 2;
      record.add("could not run: " + e);
      record.writeIfPossible();
    }
    System.exit(result);
  }

  private static int run(Fleet fleet, Record record, boolean trouble, int lateMillis)
      throws Exception {
    fleet.configure(
        Documents.document(
            1,
            Documents.route("drafts", "/drafts/", "stream", 39_000, 1_800, "model", 2, true),
            Documents.engineService("model")));
    Runner[] engines = new Runner[4];
    for (int i = 0; i < engines.length; i++) {
      int number = i;
      engines[i] =
          new Runner(
              record, fleet.controlAddresses(), "engine-" + (i + 1),
              fleet.address(201 + i) + ":9000", "model", 24, true,
              call -> Runner.stream(engines[number], call, EVENTS, EVENT_MILLIS));
      engines[i].start("v1", 0);
    }
    Runner.pause(2_500);
    if (trouble) {
      engines[0].crash();
      Runner.pause(500);
      engines[0].start("v2", lateMillis);
    }
    InetSocketAddress gateway = fleet.caller(0);
    List<Caller.Stream> streams = new CopyOnWriteArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      Runner.daemon(() -> streams.add(request(gateway, record)));
      Runner.pause(50);
    }
    long endMillis = System.currentTimeMillis() + EVENTS * EVENT_MILLIS + 8_000;
    while (streams.size() < STREAMS && System.currentTimeMillis() < endMillis) {
      Runner.pause(100);
    }
    int joined = 0;
    int begun = 0;
    for (Caller.Stream stream : streams) {
      Set<String> versions =
          stream.events.stream()
              .map(event -> event.data().split(" ")[1])
              .collect(Collectors.toSet());
      begun += stream.events.isEmpty() ? 0 : 1;
      joined += versions.size() > 1 ? 1 : 0;
      record.add(
          stream.id + " status " + stream.status + ", " + stream.events.size()
              + " events of versions " + versions + (stream.complete ? ", complete" : ", cut"));
    }
    record.add(joined + " of " + begun + " streams hold events of two versions");
    if (begun < STREAMS / 2) {
      return 2;
    }
    return joined > MOST_JOINED ? 1 : 0;
  }

  private static Caller.Stream request(InetSocketAddress gateway, Record record) {
    String id = Caller.newId("s");
    record.add(id + " sent");
    String headers =
        "Model: m\r\nToken-Count: 300,280\r\nPrompt-Prefix: a1:40,"
            + Integer.toHexString(id.hashCode()) + ":260\r\nDeadline-Ms: 39000\r\n";
    return Caller.stream(
        gateway, Caller.request("POST", "/drafts/1", id, headers, new byte[100]), id, 12_000);
  }
}
