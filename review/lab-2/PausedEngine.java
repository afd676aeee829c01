import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;

/**
 * An engine stands still for some seconds while its queue of new connections is full. Checks
 * whether a stream goes on at another engine while the first one still works on it.
 */
final class PausedEngine {
  private static final int EVENTS = 130;
  private static final int EVENT_MILLIS = 60;
  private static final int STREAMS = 18;
  private static final int PAUSE_MILLIS = 4_500;
  private static final long OVERLAP_NANOS = 400_000_000L;

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
            Documents.route("drafts", "/drafts/", "stream", 39_000, 1_800, "model", 1, false),
            Documents.engineService("model")));
    Runner[] engines = new Runner[6];
    for (int i = 0; i < engines.length; i++) {
      int number = i;
      engines[i] =
          new Runner(
              record, fleet.controlAddresses(), "engine-" + (i + 1),
              fleet.address(201 + i) + ":9000", "model", 24, true,
              call -> Runner.stream(engines[number], call, EVENTS, EVENT_MILLIS));
      engines[i].backlog = 1;
      engines[i].keepsRunning = !Boolean.getBoolean("drops");
      engines[i].start("v1", 0);
    }
    Runner.pause(2_500);
    InetSocketAddress gateway = fleet.caller(0);
    List<Caller.Stream> streams = new CopyOnWriteArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      Runner.daemon(() -> streams.add(request(gateway, record)));
      Runner.pause(80);
    }
    Runner.pause(500);
    List<Socket> others = new ArrayList<>();
    if (trouble) {
      Runner paused =
          Arrays.stream(engines)
              .max(Comparator.comparingInt(engine -> engine.life().runs.size()))
              .orElseThrow();
      paused.standStill(PAUSE_MILLIS);
      // Other machines open channels meanwhile, which fill the queue.
      for (int i = 0; i < 6; i++) {
        Runner.daemon(() -> openChannel(paused.address, others));
      }
    }
    long endMillis = System.currentTimeMillis() + EVENTS * EVENT_MILLIS + 8_000;
    while (streams.size() < STREAMS && System.currentTimeMillis() < endMillis) {
      Runner.pause(100);
    }
    Runner.pause(3_000);
    for (Caller.Stream stream : streams) {
      record.add(
          stream.id + " status " + stream.status + ", " + stream.events.size() + " events"
              + (stream.complete ? ", complete" : ", cut"));
    }
    return judge(record, streams.size());
  }

  private static void openChannel(String address, List<Socket> opened) {
    try {
      Socket socket = new Socket();
      synchronized (opened) {
        opened.add(socket);
      }
      socket.connect(Http.address(address), 10_000);
    } catch (IOException e) {
      // The queue was full all the time.
    }
  }

  /** Returns 1 if an engine made events of a request 400 ms after another had gone on with it. */
  private static int judge(Record record, int streams) {
    Map<String, List<Runner.Work>> byRequest =
        Runner.WORK.stream().collect(Collectors.groupingBy(Runner.Work::requestId));
    int doubled = 0;
    for (Map.Entry<String, List<Runner.Work>> entry : byRequest.entrySet()) {
      List<Runner.Work> work = entry.getValue();
      for (Runner.Work begun : work) {
        long late =
            work.stream()
                .filter(other -> !other.runner().equals(begun.runner()))
                .filter(other -> other.nanos() > begun.nanos() + OVERLAP_NANOS)
                .filter(other -> startedBefore(work, other.runner(), begun.nanos()))
                .count();
        if (begun.first() && late > 0) {
          doubled++;
          record.add(
              entry.getKey() + " went on at " + begun.runner() + "; the engine before made " + late
                  + " events later than 400 ms after that");
        }
      }
    }
    record.add(doubled + " of " + byRequest.size() + " streams worked on by two engines");
    return streams < STREAMS / 2 ? 2 : doubled > 0 ? 1 : 0;
  }

  private static boolean startedBefore(List<Runner.Work> work, String runner, long nanos) {
    return work.stream()
        .anyMatch(
            other -> other.first() && other.runner().equals(runner) && other.nanos() < nanos);
  }

  private static Caller.Stream request(InetSocketAddress gateway, Record record) {
    String id = Caller.newId("d");
    record.add(id + " sent");
    String headers =
        "Model: m\r\nToken-Count: 300,520\r\nLength-Hint: 520\r\nPrompt-Prefix: a1:40,"
            + Integer.toHexString(id.hashCode()) + ":260\r\nDeadline-Ms: 39000\r\n";
    return Caller.stream(
        gateway, Caller.request("POST", "/drafts/1", id, headers, new byte[100]), id, 15_000);
  }
}
