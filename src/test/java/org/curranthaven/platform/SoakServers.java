package org.curranthaven.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;

/** The backend servers of a soak, in two data centres; some crash and are replaced. */
final class SoakServers implements AutoCloseable {
  static final String EAST = "east";
  static final String WEST = "west";
  private static final int MAX_PAUSE_MILLIS = 500;

  private final FleetProcesses fleet;
  private final long seed;
  private final double failureShare;
  private final Queue<SoakScript.Answer> answers = new ConcurrentLinkedQueue<>();
  private final List<SoakServer> servers = new ArrayList<>();
  private int started;

  SoakServers(FleetProcesses fleet, long seed, double failureShare) throws Exception {
    this.fleet = fleet;
    this.seed = seed;
    this.failureShare = failureShare;
    for (String dataCentre : List.of(EAST, WEST)) {
      startNew(SoakRoutes.PLAIN, "v1", dataCentre);
      startNew(SoakRoutes.PLAIN, "v1", dataCentre);
      startNew(SoakRoutes.OTHER, "v1", dataCentre);
    }
  }

  List<SoakScript.Answer> answers() {
    return List.copyOf(answers);
  }

  private void startNew(String service, String version, String dataCentre) throws Exception {
    start(new SoakServer.Identity(nextId(), service, version, dataCentre), 0);
  }

  private String nextId() {
    started++;
    return "i-" + started;
  }

  private void start(SoakServer.Identity identity, int port) throws Exception {
    SoakScript script = new SoakScript(identity, seed, failureShare, answers);
    SoakServer server = new SoakServer(identity, port, script);
    servers.add(server);
    fleet.control(
        "PUT",
        "/api/runners/" + identity.id(),
        """
        {"service":"%s","address":"%s","zone":"%s","version":"%s","slots":64,"state":"ready",
         "coldLeftMs":0,"seq":1,"born":%d}
        """
            .formatted(
                identity.service(),
                server.address(),
                identity.dataCentre(),
                identity.version(),
                System.currentTimeMillis()));
  }

  /** Replaces one server by another, as drawn from a seed. */
  synchronized void replaceOne(long replacementSeed) throws Exception {
    SplittableRandom random = new SplittableRandom(replacementSeed);
    SoakServer old = servers.remove(random.nextInt(servers.size()));
    switch (random.nextInt(6)) {
      case 0 -> startAgain(old, random);
      case 1 -> passAddressOn(old, random);
      default -> release(old, random);
    }
  }

  /** Starts a crashed server under its id and address. */
  private void startAgain(SoakServer old, SplittableRandom random) throws Exception {
    old.crash();
    Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
    start(old.identity(), old.port());
  }

  /** Gives the address of a crashed server to one of the other service. */
  private void passAddressOn(SoakServer old, SplittableRandom random) throws Exception {
    SoakServer.Identity identity = old.identity();
    String other =
        identity.service().equals(SoakRoutes.PLAIN) ? SoakRoutes.OTHER : SoakRoutes.PLAIN;
    old.crash();
    Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
    start(
        new SoakServer.Identity(nextId(), other, identity.version(), identity.dataCentre()),
        old.port());
    startNew(identity.service(), identity.version(), identity.dataCentre());
  }

  /** Starts a server, at times of a new version, before another one crashes. */
  private void release(SoakServer old, SplittableRandom random) throws Exception {
    SoakServer.Identity identity = old.identity();
    String version = random.nextBoolean() ? "v" + (started + 1) : identity.version();
    startNew(identity.service(), version, identity.dataCentre());
    Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
    old.crash();
    if (random.nextBoolean()) {
      fleet.control("DELETE", "/api/runners/" + identity.id(), "");
    }
  }

  @Override
  public synchronized void close() throws IOException {
    for (SoakServer server : servers) {
      server.close();
    }
  }
}
