import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;

/**
 * The system starts for the first time, and the operator sends the first manifest half a second
 * after the first seed takes connections. Right after the acknowledgement, the machine that gave it
 * loses its disk, and is back half a second later. The operator reads the manifest back. This is
 * repeated with new systems until a manifest is gone. A system whose first seed does not acknowledge
 * the first order is ended without more, but for the last one.
 */
final class FirstOrder {
  private static final long EARLY_MILLIS = 500;

  /** Time in which all control hosts have long joined. */
  private static final long LATE_MILLIS = 15_000;

  /** Time after which the last system is started, so that all ends within two minutes. */
  private static final long LAST_MILLIS = 55_000;

  private static final long RESTART_MILLIS = 500;

  /** Callers move on after a second without a response. */
  private static final int RESPONSE_MILLIS = 1_000;

  private static final long ORDER_MILLIS = 20_000;

  /** Three times recoveryS, which is 12 s. */
  private static final long READ_MILLIS = 36_000;

  public static void main(String[] arguments) throws Exception {
    Path repository = Path.of(arguments[0]);
    Path folder = Path.of(arguments[1]);
    Record record = new Record(Path.of(arguments[2]));
    // 0: no disruption; 1: one disk is lost; 2: one is lost, the order was sent 15 s later;
    // 3: as many disks as may be lost at once.
    String trouble = arguments[3];
    long begin = Record.now();
    int exit = 0;
    boolean last = false;
    for (int system = 1; exit == 0 && !last; system++) {
      last = Record.now() - begin > LAST_MILLIS;
      record.add("new system " + system + (last ? ", the last" : ""));
      exit = play(repository, Files.createDirectories(folder.resolve("" + system)), record, trouble, last);
    }
    record.add(
        switch (exit) {
          case 0 -> "held";
          case 1 -> "BROKEN: the acknowledged manifest is gone";
          default -> "the manifest is not acknowledged: the case could not run";
        });
    System.exit(exit);
  }

  private static int play(
      Path repository, Path folder, Record record, String trouble, boolean last)
      throws IOException, InterruptedException {
    try (Fleet fleet = new Fleet(repository, folder, record)) {
      for (int number = 1; number <= Fleet.CONTROLS; number++) {
        fleet.startControl(number, true);
      }
      fleet.startGateway(1);
      fleet.startGateway(2);
      awaitConnection(fleet.controlAddress(1));
      record.add("core-1 takes connections");
      Thread.sleep(trouble.equals("2") ? LATE_MILLIS : EARLY_MILLIS);
      boolean resend = last || trouble.equals("2");
      int acknowledging = order(fleet, record, resend);
      if (acknowledging == 0) {
        return resend ? 2 : 0;
      }
      int lost = trouble.equals("0") ? 0 : trouble.equals("3") ? 2 : 1;
      loseDisks(fleet, folder, record, acknowledging, lost);
      return readBack(fleet, record) ? 0 : 1;
    }
  }

  /** Some machines, beginning with one, lose their disks, and start again. */
  private static void loseDisks(Fleet fleet, Path folder, Record record, int first, int count)
      throws IOException, InterruptedException {
    List<Integer> numbers =
        IntStream.range(first, first + count).map(n -> (n - 1) % Fleet.CONTROLS + 1).boxed().toList();
    for (int number : numbers) {
      fleet.kill("core-" + number);
    }
    for (int number : numbers) {
      Disk.empty(folder.resolve("data-core-" + number));
      record.add("core-" + number + " has lost its disk");
    }
    Thread.sleep(RESTART_MILLIS);
    for (int number : numbers) {
      fleet.startControl(number, false);
    }
  }

  private static void awaitConnection(String address) throws InterruptedException {
    long end = Record.now() + ORDER_MILLIS;
    while (Record.now() < end) {
      try {
        Http.connect(address, RESPONSE_MILLIS).close();
        return;
      } catch (IOException e) {
        Thread.sleep(50);
      }
    }
  }

  /** Sends the first manifest until a core machine acknowledges it; returns its number, or 0. */
  private static int order(Fleet fleet, Record record, boolean resend) throws InterruptedException {
    long from = Record.now();
    long backoff = 100;
    for (int turn = 0; turn == 0 || resend && Record.now() < from + ORDER_MILLIS; turn++) {
      int number = turn % Fleet.CONTROLS + 1;
      String sent = "operator sends PUT /api/config to core-" + number + ": ";
      try {
        int status =
            Http.call(
                    fleet.controlAddress(number),
                    "PUT",
                    "/api/config",
                    Manifests.FIRST,
                    RESPONSE_MILLIS)
                .status();
        if (status == 200) {
          record.add(sent + "200, " + (Record.now() - from) + " ms after it was sent first");
          return number;
        }
        record.add(sent + status);
      } catch (IOException e) {
        record.add(sent + e.getMessage());
      }
      Thread.sleep(backoff);
      backoff = Math.min(1_000, 2 * backoff);
    }
    return 0;
  }

  private static boolean readBack(Fleet fleet, Record record) throws InterruptedException {
    long end = Record.now() + READ_MILLIS;
    for (int turn = 0; Record.now() < end; turn++) {
      int number = turn % Fleet.CONTROLS + 1;
      String seen;
      try {
        Http.Message answer =
            Http.call(fleet.controlAddress(number), "GET", "/api/config", "", 2_000);
        seen = answer.status() + "";
        if (answer.status() == 200) {
          boolean same = Manifests.isFirst(answer.body());
          record.add("operator reads at core-" + number + ": 200, the manifest sent: " + same);
          return same;
        }
      } catch (IOException e) {
        seen = e.getMessage();
      }
      record.add("operator reads at core-" + number + ": " + seen);
      Thread.sleep(700);
    }
    return false;
  }
}
