import java.nio.file.Path;

/**
 * The whole system starts for the first time. One control process, the first seed, is killed while
 * it starts, and is started again half a second later, with its disk. From then on all machines
 * run and reach each other, and nothing else is disturbed.
 */
final class FirstStart {
  private static final long KILL_AFTER_MILLIS = 150;
  private static final long RESTART_MILLIS = 500;

  /** Time that the operator and the test wait; many times recoveryS, 12 s, and ackMs, 4 s. */
  private static final long WAIT_MILLIS = 75_000;

  public static void main(String[] arguments) throws Exception {
    Path repository = Path.of(arguments[0]);
    Path folder = Path.of(arguments[1]);
    Record record = new Record(Path.of(arguments[2]));
    // 0: no disruption; 1: one is killed; 2: the same, and the platform says "bootstrap" once more.
    boolean trouble = !arguments[3].equals("0");
    boolean bootstrapAgain = arguments[3].equals("2");
    int exit;
    try (Fleet fleet = new Fleet(repository, folder, record)) {
      for (int number = 1; number <= Fleet.CONTROLS; number++) {
        fleet.startControl(number, true);
      }
      fleet.startGateway(1);
      fleet.startGateway(2);
      if (trouble) {
        Thread.sleep(KILL_AFTER_MILLIS);
        fleet.kill("core-1");
        Thread.sleep(RESTART_MILLIS);
        // Not the whole system starts now, so bootstrap is false.
        fleet.startControl(1, bootstrapAgain);
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
