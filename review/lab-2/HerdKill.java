import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Half of the processes are killed at once, among them two of three gateways and the leader, while
 * two software versions serve. Checks whether streams that are taken up later go on.
 */
final class HerdKill {
  private static final int EVENTS = 60;
  private static final int EVENT_MILLIS = 150;
  private static final int STREAMS = 36;
  private static final int MIN_STREAMS = 12;
  private static final int CALM_MILLIS = 4_500;

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record = new Record(Path.of(arguments[0]));
    int result = 2;
    try (Fleet fleet = new Fleet(record, 3, 3)) {
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
            Documents.route("tags", "/tags/", "stream", 30_000, 1_500, "model", 2, true),
            Documents.engineService("model")));
    Runner[] engines = new Runner[4];
    for (int i = 0; i < engines.length; i++) {
      int number = i;
      engines[i] =
          new Runner(
              record, fleet.controlAddresses(), "engine-" + (i + 1),
              fleet.address(201 + i) + ":9000", "model", 24, true,
              call -> Runner.stream(engines[number], call, EVENTS, EVENT_MILLIS));
      engines[i].start(i < 2 ? "v1" : "v2", 0);
    }
    Runner.pause(2_500);
    List<Caller.Stream> streams = new CopyOnWriteArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      InetSocketAddress gateway = fleet.caller(i % 3);
      Runner.daemon(() -> streams.add(request(gateway, record, "", 0)));
      Runner.pause(30);
    }
    Runner.pause(1_500);
    if (trouble) {
      kill(fleet, record);
    } else {
      record.add("the callers of two gateways leave");
      for (Caller.Stream stream : Caller.STREAMS) {
        if (!stream.gateway.equals(fleet.caller(2))) {
          stream.leave();
        }
      }
    }
    while (!fleet.isReady(0) || !fleet.isReady(1)) {
      Runner.pause(50);
    }
    record.add("all processes run again");
    Runner.pause(CALM_MILLIS);
    return takeUp(fleet, record, List.copyOf(streams));
  }

  private static void kill(Fleet fleet, Record record) throws Exception {
    String leader = leader(fleet);
    List<String> killed = List.of(fleet.gatewayHost(0), fleet.gatewayHost(1), leader);
    record.add("killed: " + killed);
    for (String host : killed) {
      fleet.process(host).destroyForcibly();
    }
    for (String host : killed) {
      fleet.process(host).waitFor();
    }
    Runner.pause(1_000);
    fleet.startGateway(fleet.gatewayHost(0));
    fleet.startGateway(fleet.gatewayHost(1));
    fleet.startControl(leader, false);
  }

  /** Has the broken streams taken up, and as many new ones begun. */
  private static int takeUp(Fleet fleet, Record record, List<Caller.Stream> earlier)
      throws Exception {
    List<Caller.Stream> broken =
        earlier.stream().filter(stream -> !stream.complete && !stream.events.isEmpty()).toList();
    List<Caller.Stream> resumed = new CopyOnWriteArrayList<>();
    List<Caller.Stream> begun = new CopyOnWriteArrayList<>();
    for (int i = 0; i < broken.size(); i++) {
      Caller.Stream stream = broken.get(i);
      InetSocketAddress gateway = fleet.caller(i % 3);
      int last = stream.events.get(stream.events.size() - 1).id();
      Runner.daemon(() -> resumed.add(request(gateway, record, stream.id, last)));
      Runner.daemon(() -> begun.add(request(gateway, record, "", 0)));
      Runner.pause(40);
    }
    Runner.pause(EVENTS * EVENT_MILLIS + 3_000);
    long goneOn = resumed.stream().filter(stream -> !stream.events.isEmpty()).count();
    long started = begun.stream().filter(stream -> !stream.events.isEmpty()).count();
    for (Caller.Stream stream : resumed) {
      record.add(
          stream.id + " takes up a stream: status " + stream.status + ", " + stream.events.size()
              + " events");
    }
    record.add(
        goneOn + " of " + resumed.size() + " streams that were taken up go on; " + started + " of "
            + begun.size() + " new ones began");
    if (resumed.size() < MIN_STREAMS || started == 0) {
      return 2;
    }
    return goneOn * begun.size() * 2 < started * resumed.size() ? 1 : 0;
  }

  private static String leader(Fleet fleet) throws Exception {
    for (int i = 0; i < 3; i++) {
      String host = fleet.controlHost(i);
      int started = fleet.logLines(host, "started scheduling").size();
      if (started > fleet.logLines(host, "stopped scheduling").size()) {
        return host;
      }
    }
    throw new IllegalStateException("no leader");
  }

  private static Caller.Stream request(
      InetSocketAddress gateway, Record record, String resumes, int lastEvent) {
    String id = Caller.newId(resumes.isEmpty() ? "t" : "u");
    record.add(id + " sent" + (resumes.isEmpty() ? "" : ", takes up " + resumes));
    String headers =
        "Model: m\r\nToken-Count: 300,240\r\nPrompt-Prefix: a1:40,"
            + Integer.toHexString(id.hashCode()) + ":260\r\nDeadline-Ms: 30000\r\n"
            + (resumes.isEmpty()
                ? ""
                : "Last-Event-Id: " + lastEvent + "\r\nResumes: " + resumes + "\r\n");
    return Caller.stream(
        gateway, Caller.request("POST", "/tags/1", id, headers, new byte[60]), id, 15_000);
  }
}
