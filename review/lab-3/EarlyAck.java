import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * Two of the five core machines are down while the system starts for the first time. The first
 * manifest is acknowledged all the same. Right after the acknowledgement, two core machines lose
 * their disks while the third loses power (no more disks than the settings allow). All five are
 * back at once, and the operator reads the manifest back.
 */
final class EarlyAck {
  private static final long RESTART_MILLIS = 500;

  /** Many times recoveryS, which is 12 s, and contactMs, which is 3 s. */
  private static final long READ_MILLIS = 60_000;

  public static void main(String[] arguments) throws Exception {
    Path repository = Path.of(arguments[0]);
    Path folder = Path.of(arguments[1]);
    Record record = new Record(Path.of(arguments[2]));
    // 0: no disruption; 1: machines missing at the start, then the final fault; 2: that alone.
    String trouble = arguments[3];
    List<Integer> missing = trouble.equals("1") ? List.of(4, 5) : List.of();
    int exit;
    try (Fleet fleet = new Fleet(repository, folder, record)) {
      for (int number = 1; number <= Fleet.CONTROLS; number++) {
        if (missing.contains(number)) {
          record.add("core-" + number + " has no power yet");
        } else {
          fleet.startControl(number, true);
        }
      }
      fleet.startGateway(1);
      long from = Record.now();
      if (!fleet.order("PUT", "/api/config", Manifests.FIRST, 40_000)) {
        // A system that waits for its machines loses nothing.
        record.add("the manifest is not acknowledged while machines are missing: held");
        System.exit(trouble.equals("0") ? 2 : 0);
      }
      record.add("the manifest is acknowledged after " + (Record.now() - from) + " ms");
      if (!trouble.equals("0")) {
        for (int number = 1; number <= 3; number++) {
          fleet.kill("core-" + number);
        }
        for (int number = 4; number <= Fleet.CONTROLS; number++) {
          if (!missing.contains(number)) {
            fleet.kill("core-" + number);
          }
        }
        for (int number = 1; number <= 2; number++) {
          Disk.empty(folder.resolve("data-core-" + number));
          record.add("core-" + number + " has lost its disk");
        }
        Thread.sleep(RESTART_MILLIS);
        for (int number = 1; number <= Fleet.CONTROLS; number++) {
          fleet.startControl(number, false);
        }
      }
      exit = readBack(fleet, record) ? 0 : 1;
      record.add(exit == 0 ? "held" : "BROKEN: the acknowledged manifest is gone");
    }
    System.exit(exit);
  }

  private static boolean readBack(Fleet fleet, Record record) throws InterruptedException {
    long end = Record.now() + READ_MILLIS;
    for (int turn = 0; Record.now() < end; turn++) {
      String address = fleet.controlAddresses().get(turn % Fleet.CONTROLS);
      String seen;
      try {
        Http.Message answer = Http.call(address, "GET", "/api/config", "", 2_000);
        seen = answer.status() + "";
        if (answer.status() == 200) {
          boolean same = Manifests.isFirst(answer.body());
          record.add("operator reads at " + address + ": 200, the manifest sent: " + same);
          return same;
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
