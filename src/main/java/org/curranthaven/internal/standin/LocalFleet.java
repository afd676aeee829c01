package org.curranthaven.internal.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;
import org.curranthaven.api.Outcome;
import org.curranthaven.internal.host.HostProcess;
import org.curranthaven.internal.settings.HostSettings;
import org.curranthaven.internal.supervision.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Several hosts in this process on loopback, with data folders in a temporary folder. The first
 * hosts are control hosts.
 *
 * <pre>{@code
 * try (LocalFleet fleet = LocalFleet.start(5, 3)) {
 *   fleet.awaitLeader();
 *   fleet.host(4).stop();
 * }
 * }</pre>
 */
public final class LocalFleet implements AutoCloseable {
  private static final String[] DATA_CENTRES = {"a", "b", "c"};
  private static final int LEDGER_GROUPS = 2;
  private static final int VOTERS = 3;
  private static final long DRAIN_MILLIS = 60_000;
  private static final int MAX_BODY_BYTES = 1_048_576;
  private static final long POLL_MILLIS = 20;

  /** Ports for listeners: above the well-known ones, below those of outgoing connections. */
  private static final int LOW_PORT = 10_000;

  private static final int HIGH_PORT = 30_000;

  private final Path folder;
  private final List<HostSettings> settings = new ArrayList<>();
  private final List<HostProcess> hosts = new ArrayList<>();

  private LocalFleet(Path folder) {
    this.folder = folder;
  }

  /** Starts hosts, of which the first {@code controlCount} are control hosts. */
  public static LocalFleet start(int hostCount, int controlCount) throws IOException {
    LocalFleet fleet = new LocalFleet(Files.createTempDirectory("curranthaven-"));
    fleet.describeHosts(hostCount, controlCount);
    for (int i = 0; i < hostCount; i++) {
      fleet.hosts.add(fleet.startHost(i));
    }
    return fleet;
  }

  private void describeHosts(int hostCount, int controlCount) throws IOException {
    List<String> addresses = freeAddresses(hostCount * 2);
    List<String> controlAddresses = addresses.subList(0, controlCount);
    for (int i = 0; i < hostCount; i++) {
      boolean control = i < controlCount;
      String name = "host-" + (i + 1);
      settings.add(
          new HostSettings(
              name,
              DATA_CENTRES[i % DATA_CENTRES.length],
              addresses.get(hostCount + i),
              addresses.get(i),
              control,
              control ? Files.createDirectories(folder.resolve(name)) : null,
              controlAddresses,
              LEDGER_GROUPS,
              VOTERS,
              DRAIN_MILLIS,
              MAX_BODY_BYTES,
              false));
    }
  }

  private HostProcess startHost(int index) throws IOException {
    return switch (HostProcess.start(settings.get(index), Clock.system())) {
      case Outcome.Success<HostProcess> success -> success.value();
      case Outcome.Failed<HostProcess> failed ->
          throw new IOException(failed.failure().fullMessage());
    };
  }

  /**
   * Returns loopback addresses with ports that are free now. The system gives none of them to an
   * outgoing connection, so that a host that was stopped can listen on its own again.
   */
  public static List<String> freeAddresses(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<String> addresses = new ArrayList<>();
    try {
      while (addresses.size() < count) {
        ServerSocket socket = boundOrNull(ThreadLocalRandom.current().nextInt(LOW_PORT, HIGH_PORT));
        if (socket != null) {
          sockets.add(socket);
          addresses.add("127.0.0.1:" + socket.getLocalPort());
        }
      }
      return addresses;
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
  }

  private static @Nullable ServerSocket boundOrNull(int port) {
    try {
      return new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      return null; // Taken; the caller tries another.
    }
  }

  /** Returns a host by its place, from 0. */
  public HostProcess host(int index) {
    return hosts.get(index);
  }

  /** Returns all hosts. */
  public List<HostProcess> hosts() {
    return List.copyOf(hosts);
  }

  /** Returns the HTTP addresses of all hosts. */
  public List<String> httpAddresses() {
    return settings.stream().map(HostSettings::httpAddress).toList();
  }

  /** Starts a stopped host again on the same settings and data folder. */
  public void restart(int index) throws IOException {
    hosts.set(index, startHost(index));
  }

  /** Empties the data folder of a stopped host. */
  public void wipe(int index) throws IOException {
    Path data = settings.get(index).dataFolder();
    if (data != null) {
      deleteTree(data);
      Files.createDirectories(data);
    }
  }

  /** Waits until every host is ready; returns false if the time is up. */
  public boolean awaitReady(long timeoutMillis) throws InterruptedException {
    return await(timeoutMillis, () -> hosts.stream().allMatch(HostProcess::isReady));
  }

  /** Waits until a condition holds; returns false if the time is up. */
  public static boolean await(long timeoutMillis, java.util.function.BooleanSupplier condition)
      throws InterruptedException {
    long deadline = System.nanoTime() + timeoutMillis * 1_000_000;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        return false;
      }
      Thread.sleep(POLL_MILLIS);
    }
    return true;
  }

  @Override
  public void close() {
    hosts.forEach(HostProcess::stop);
    try {
      deleteTree(folder);
    } catch (IOException e) {
      // The system's temporary folder is cleaned by the system.
    }
  }

  private static void deleteTree(Path root) throws IOException {
    try (Stream<Path> paths = Files.walk(root)) {
      for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(path);
      }
    }
  }
}
