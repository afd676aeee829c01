import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The manifest has grown by many routes. The operator has eight versions of it in progress at once,
 * each of which it sends to one control host after the other until it is acknowledged or overtaken.
 * Nothing else is disturbed. A control process that ends by itself is started again at once. At the
 * end, the operator reads the manifest back.
 */
final class ManyOrders {
  /** As after 40 changes with 350 routes each. */
  private static final int ROUTES = 14_000;

  private static final int ORDERS = 8;
  private static final long ORDERS_MILLIS = 70_000;
  private static final long ORDER_MILLIS = 15_000;

  /** Many times contactMs, which is 3 s, and more than recoveryS, which is 12 s. */
  private static final long READ_MILLIS = 20_000;

  private static final int ATTEMPT_MILLIS = 6_000;

  private static final AtomicInteger nextVersion = new AtomicInteger(2);
  private static final AtomicInteger acknowledged = new AtomicInteger(1);

  private static String manifest(int version, int routes) {
    StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
    for (int number = 0; number < routes; number++) {
      text.append(number == 0 ? "" : ",")
          .append("{\"name\":\"r-hvz3pf").append(number)
          .append("\",\"host\":\"site.example\",\"pathPrefix\":\"/pufi").append(number)
          .append("/\",\"kind\":\"stream\",\"timeoutMs\":6000,\"targetLatencyMs\":1500,\"priority\":0,")
          .append("\"service\":\"app\",\"attempts\":2,\"anonymous\":false,\"sticky\":true,")
          .append("\"resumable\":true,\"gapTargetMs\":180}");
    }
    return text
        + "],\"services\":[{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConns\":100,"
        + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
        + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
  }

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
      if (!fleet.order("PUT", "/api/config", manifest(1, 1), 20_000)
          || !fleet.awaitReady(1, 10_000)) {
        record.add("the fleet did not start");
        System.exit(2);
      }
      record.add("a manifest of " + ROUTES + " routes has " + manifest(2, ROUTES).length() + " bytes");
      Thread platform = new Thread(() -> restart(fleet));
      platform.setDaemon(true);
      platform.start();
      long end = Record.now() + ORDERS_MILLIS;
      ExecutorService operator = Executors.newFixedThreadPool(trouble ? ORDERS : 1);
      for (int lane = 0; lane < (trouble ? ORDERS : 1); lane++) {
        operator.submit(() -> sendVersions(fleet, record, end));
      }
      operator.shutdown();
      operator.awaitTermination(ORDERS_MILLIS + 2 * ATTEMPT_MILLIS, TimeUnit.MILLISECONDS);
      int newest = acknowledged.get();
      record.add("newest acknowledged version: " + newest);
      boolean readBack = readBack(fleet, record, newest);
      Map<Integer, Integer> ownEnds = fleet.restartEnded();
      record.add("control processes that ended by themselves, by core machine: " + ownEnds);
      long machines = ownEnds.values().stream().filter(ends -> ends >= 3).count();
      // A tenth of the six machines in use is less than two, so that two count.
      boolean fault = machines >= 2;
      exit = readBack && !fault ? 0 : 1;
      record.add(
          exit == 0
              ? "held"
              : "BROKEN: CONFIG (the manifest does not come): " + !readBack
                  + "; Fault (three ends on each of two machines): " + fault);
    }
    System.exit(exit);
  }

  private static void restart(Fleet fleet) {
    try {
      while (true) {
        fleet.restartEnded();
        Thread.sleep(100);
      }
    } catch (IOException | InterruptedException e) {
      // The test ends.
    }
  }

  /** Sends one version after the other, each until it is acknowledged or its time is up. */
  private static void sendVersions(Fleet fleet, Record record, long end) {
    try {
      while (Record.now() < end) {
        int version = nextVersion.getAndIncrement();
        if (send(fleet, record, version, Math.min(end, Record.now() + ORDER_MILLIS))) {
          acknowledged.accumulateAndGet(version, Math::max);
        }
      }
    } catch (InterruptedException e) {
      // The test ends.
    }
  }

  private static boolean send(Fleet fleet, Record record, int version, long end)
      throws InterruptedException {
    String body = manifest(version, ROUTES);
    for (int turn = 0; Record.now() < end; turn++) {
      String address = fleet.controlAddresses().get((version + turn) % Fleet.CONTROLS);
      String seen;
      try {
        int status = Http.call(address, "PUT", "/api/config", body, ATTEMPT_MILLIS).status();
        seen = "" + status;
      } catch (IOException e) {
        seen = e.getMessage();
      }
      record.add("operator sends version " + version + " to " + address + ": " + seen);
      if (seen.equals("200")) {
        return true;
      }
      // Increasing pauses, as the pages say.
      Thread.sleep(300L * (turn + 1));
    }
    return false;
  }

  private static boolean readBack(Fleet fleet, Record record, int atLeast)
      throws InterruptedException {
    long end = Record.now() + READ_MILLIS;
    for (int turn = 0; Record.now() < end; turn++) {
      String address = fleet.controlAddresses().get(turn % Fleet.CONTROLS);
      String seen;
      try {
        Http.Message answer = Http.call(address, "GET", "/api/config", "", 3_000);
        seen = "" + answer.status();
        if (answer.status() == 200) {
          int version = Manifests.version(answer.body());
          record.add("operator reads at " + address + ": 200, version " + version);
          return version >= atLeast;
        }
      } catch (IOException e) {
        seen = e.getMessage();
      }
      record.add("operator reads at " + address + ": " + seen);
      Thread.sleep(700);
    }
    return false;
  }
}
