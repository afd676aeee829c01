package org.curranthaven.platform;

import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Suspends, kills and stops hosts, lets them run for moments only, holds up their messages and
 * replaces servers, several at a time and as drawn from a seed.
 */
final class SoakTroubles {
  private static final int MAX_INTERVAL_MILLIS = 1_200;
  private static final int MIN_TROUBLE_MILLIS = 100;

  /** About as long as hosts take to notice that another is gone. */
  private static final int SHORT_TROUBLE_MILLIS = 1_000;

  private static final int LONG_TROUBLE_MILLIS = 4_000;
  private static final long END_TIMEOUT_MILLIS = 30_000;

  private final FleetProcesses fleet;
  private final SoakServers servers;
  private final FleetProcesses.Shape shape;
  private final SplittableRandom random;
  private final Set<String> inTrouble = ConcurrentHashMap.newKeySet();
  private final Queue<Trouble> troubles = new ConcurrentLinkedQueue<>();
  private final Queue<Thread> running = new ConcurrentLinkedQueue<>();

  /** A disruption of one host. */
  record Trouble(String host, String kind, long startMillis, long endMillis) {}

  private interface Action {
    void run() throws Exception;
  }

  SoakTroubles(FleetProcesses fleet, SoakServers servers, FleetProcesses.Shape shape, long seed) {
    this.fleet = fleet;
    this.servers = servers;
    this.shape = shape;
    this.random = new SplittableRandom(seed);
  }

  List<Trouble> troubles() {
    return List.copyOf(troubles);
  }

  void run(long endMillis) throws InterruptedException {
    while (SoakClock.millis() < endMillis) {
      Thread.sleep(random.nextInt(MAX_INTERVAL_MILLIS));
      begin();
    }
    for (Thread thread : running) {
      thread.join(END_TIMEOUT_MILLIS);
    }
  }

  private void begin() {
    int gateway = 1 + random.nextInt(shape.gateways());
    int control = 1 + random.nextInt(FleetProcesses.HOSTS_OF_A_ROLE);
    String gatewayName = "gateway " + gateway;
    String controlName = "control host " + control;
    int bound = random.nextBoolean() ? SHORT_TROUBLE_MILLIS : LONG_TROUBLE_MILLIS;
    int millis = random.nextInt(MIN_TROUBLE_MILLIS, bound);
    SplittableRandom own = random.split();
    switch (random.nextInt(20)) {
      case 0, 1, 2 -> start(controlName, "suspended", () -> suspendControl(control, millis));
      case 3, 4, 5 -> start(gatewayName, "suspended", () -> suspendGateway(gateway, millis));
      case 6, 7 -> start(controlName, "starved", () -> starveControl(control, millis, own));
      case 8, 9 -> start(gatewayName, "starved", () -> starveGateway(gateway, millis, own));
      case 10, 11 ->
          start(controlName, "killed", () -> fleet.killAndRestartControl(control, millis / 2));
      case 12, 13 -> start(gatewayName, "killed", () -> restart(gateway, false, millis / 2));
      case 14 -> start(gatewayName, "stopped", () -> restart(gateway, true, millis / 2));
      case 15 -> suspendControls(millis / 2);
      case 16, 17 ->
          start("messages of " + controlName, "held up", () -> holdUp(control, millis, own));
      default -> start("servers", "replaced", () -> servers.replaceOne(own.nextLong()));
    }
  }

  private void suspendControl(int control, int millis) throws Exception {
    fleet.suspendControl(control);
    Thread.sleep(millis);
    fleet.resumeControl(control);
  }

  private void suspendGateway(int gateway, int millis) throws Exception {
    fleet.suspendGateway(gateway);
    Thread.sleep(millis);
    fleet.resumeGateway(gateway);
  }

  /** Suspends all control hosts that are in no other trouble. */
  private void suspendControls(int millis) {
    for (int number = 1; number <= FleetProcesses.HOSTS_OF_A_ROLE; number++) {
      int control = number;
      start("control host " + control, "suspended", () -> suspendControl(control, millis));
    }
  }

  /** Lets a control host run for moments only. */
  private void starveControl(int control, int millis, SplittableRandom own) throws Exception {
    long endMillis = SoakClock.millis() + millis;
    while (SoakClock.millis() < endMillis) {
      suspendControl(control, own.nextInt(50, 300));
      Thread.sleep(own.nextInt(10, 100));
    }
  }

  private void starveGateway(int gateway, int millis, SplittableRandom own) throws Exception {
    long endMillis = SoakClock.millis() + millis;
    while (SoakClock.millis() < endMillis) {
      suspendGateway(gateway, own.nextInt(50, 300));
      Thread.sleep(own.nextInt(10, 100));
    }
  }

  private void restart(int gateway, boolean planned, int millis) throws Exception {
    fleet.stopGateway(gateway, planned);
    Thread.sleep(millis);
    fleet.startGateway(gateway);
  }

  /** Holds up messages between the gateways and a control host, in one direction. */
  private void holdUp(int control, int millis, SplittableRandom own) throws InterruptedException {
    if (!shape.delayed()) {
      return;
    }
    DelayedConnections messages = fleet.delays(control);
    int delayMillis = own.nextInt(50, own.nextBoolean() ? 400 : 2_000);
    if (own.nextBoolean()) {
      messages.holdUp(delayMillis);
    } else {
      messages.holdUpReplies(delayMillis);
    }
    Thread.sleep(millis);
    messages.holdUp(0);
    messages.holdUpReplies(0);
  }

  /** Begins a disruption unless the host is in another. */
  private void start(String host, String kind, Action action) {
    if (inTrouble.add(host)) {
      running.add(Thread.ofVirtual().start(() -> run(host, kind, action)));
    }
  }

  private void run(String host, String kind, Action action) {
    long startMillis = SoakClock.millis();
    String outcome = kind;
    try {
      action.run();
    } catch (Exception e) {
      outcome = kind + ", failed with " + e;
    }
    troubles.add(new Trouble(host, outcome, startMillis, SoakClock.millis()));
    inTrouble.remove(host);
  }
}
