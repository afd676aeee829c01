import java.nio.file.Path;

/**
 * The whole system starts for the first time. One second later, one machine, the first seed, loses
 * its disk, and is started again half a second after that. From then on all machines run and reach
 * each other, and nothing else is disturbed.
 */
final class FirstStart {
  private static final long LOSS_AFTER_MILLIS = 1_000;

  /** Time in which all control hosts have long joined. */
  private static final long LATE_MILLIS = 15_000;

  private static final long KILL_AFTER_MILLIS = 150;
  private static final long RESTART_MILLIS = 500;

  /** Time that the operator and the test wait; many times recoveryS, 12 s, and ackMs, 4 s. */
  private static final long WAIT_MILLIS = 75_000;

  /**
   * What happens to the first seed.
   *
   * @param afterMillis time from the start of the system
   * @param diskLost whether it loses its disk, too
   * @param bootstrap what it is told when it starts again
   */
  private record Disruption(long afterMillis, boolean diskLost, boolean bootstrap) {}

  public static void main(String[] arguments) throws Exception {
    Path repository = Path.of(arguments[0]);
    Path folder = Path.of(arguments[1]);
    Record record = new Record(Path.of(arguments[2]));
    Disruption disruption =
        switch (arguments[3]) {
          case "0" -> null;
          // The same loss once all machines have joined.
          case "2" -> new Disruption(LATE_MILLIS, true, false);
          // Its process is killed and the disk stays: the earlier form of this case.
          case "3" -> new Disruption(KILL_AFTER_MILLIS, false, false);
          case "4" -> new Disruption(KILL_AFTER_MILLIS, false, true);
          default -> new Disruption(LOSS_AFTER_MILLIS, true, false);
        };
    int exit;
    try (Fleet fleet = new Fleet(repository, folder, record)) {
      for (int number = 1; number <= Fleet.CONTROLS; number++) {
        fleet.startControl(number, true);
      }
      fleet.startGateway(1);
      fleet.startGateway(2);
      if (disruption != null) {
        Thread.sleep(disruption.afterMillis());
        fleet.kill("core-1");
        if (disruption.diskLost()) {
          Disk.empty(folder.resolve("data-core-1"));
          record.add("core-1 has lost its disk");
        }
        Thread.sleep(RESTART_MILLIS);
        fleet.startControl(1, disruption.bootstrap());
        record.add("core-1 is told bootstrap: " + disruption.bootstrap());
      }
      long from = Record.now();
      boolean accepted = fleet.order("PUT", "/api/config", Manifests.FIRST, WAIT_MILLIS);
      boolean ready = fleet.awaitReady(2, accepted ? 20_000 : 1);
      record.add(
          "the first manifest is " + (accepted ? "acknowledged" : "not acknowledged") + " "
              + (Record.now() - from) + " ms after all machines ran; front machines are "
              + (ready ? "ready" : "not ready"));
      boolean allRun = true;
      for (int number = 1; number <= Fleet.CONTROLS; number++) {
        allRun &= fleet.isRunning("core-" + number);
      }
      record.add("all control processes run: " + allRun);
      exit = accepted && ready ? 0 : 1;
      record.add(exit == 0 ? "held" : "BROKEN: the system has never served, and does not recover");
    }
    System.exit(exit);
  }
}
