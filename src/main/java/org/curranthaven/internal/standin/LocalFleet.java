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
 * Several hosts in this process on the loopback interface, with data folders in a temporary folder.
 * The first hosts are control hosts. Not thread-safe.
 *
 * <pre>{@code
 * try (LocalFleet fleet = LocalFleet.start(5, 3)) {
 *   fleet.awaitReady(15_000);
 *   fleet.host(4).stop();
 * }
 * }</pre>
 */
public final class LocalFleet implements AutoCloseable {
  private static final String[] DATA_CENTRES = {"a", "b", "c"};
  private static final int LEDGER_GROUPS = 2;
  private static final int VOTER_COUNT = 3;
  private static final long DRAIN_TIMEOUT_MILLIS = 60_000;
  private static final int MAX_BODY_BYTES = 1_048_576;
  private static final long POLL_INTERVAL_MILLIS = 20;

  /** Listener ports lie above the well-known ports and below those of outgoing connections. */
  private static final int MIN_PORT = 10_000;

  private static final int MAX_PORT_EXCLUSIVE = 30_000;

  private final Path baseFolder;
  private final List<HostSettings> settings = new ArrayList<>();
  private final List<HostProcess> hosts = new ArrayList<>();

  private LocalFleet(Path baseFolder) {
    this.baseFolder = baseFolder;
  }

  /** Starts {@code hostCount} hosts, of which the first {@code controlCount} are control hosts. */
  public static LocalFleet start(int hostCount, int controlCount) throws IOException {
    LocalFleet fleet = new LocalFleet(Files.createTempDirectory("curranthaven-"));
    fleet.createSettings(hostCount, controlCount);
    for (int i = 0; i < hostCount; i++) {
      fleet.hosts.add(fleet.startHost(i));
    }
    return fleet;
  }

  private void createSettings(int hostCount, int controlCount) throws IOException {
    List<String> addresses = freeAddresses(hostCount * 2);
    List<String> controlAddresses = addresses.subList(0, controlCount);
    for (int i = 0; i < hostCount; i++) {
      boolean isControlHost = i < controlCount;
      String name = "host-" + (i + 1);
      settings.add(
          new HostSettings(
              name,
              DATA_CENTRES[i % DATA_CENTRES.length],
              addresses.get(hostCount + i),
              addresses.get(i),
              isControlHost,
              isControlHost ? Files.createDirectories(baseFolder.resolve(name)) : null,
              controlAddresses,
              LEDGER_GROUPS,
              VOTER_COUNT,
              DRAIN_TIMEOUT_MILLIS,
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
   * Returns loopback addresses with ports that are free now. The operating system assigns none of
   * these ports to outgoing connections, so that a stopped host can listen on its port again.
   */
  public static List<String> freeAddresses(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<String> addresses = new ArrayList<>();
    try {
      while (addresses.size() < count) {
        ServerSocket socket =
            bindOrNull(ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT_EXCLUSIVE));
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

  private static @Nullable ServerSocket bindOrNull(int port) {
    try {
      return new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      return null; // The port is in use; the caller tries another one.
    }
  }

  /** Returns the host at the index, from 0. */
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

  /** Restarts a stopped host with the same settings and data folder. */
  public void restart(int index) throws IOException {
    hosts.set(index, startHost(index));
  }

  /** Deletes the contents of the data folder of a stopped host. */
  public void deleteData(int index) throws IOException {
    Path dataFolder = settings.get(index).dataFolder();
    if (dataFolder != null) {
      deleteTree(dataFolder);
      Files.createDirectories(dataFolder);
    }
  }

  /** Waits until every host is ready; returns false on timeout. */
  public boolean awaitReady(long timeoutMillis) throws InterruptedException {
    return await(timeoutMillis, () -> hosts.stream().allMatch(HostProcess::isReady));
  }

  /** Waits until the condition holds; returns false on timeout. */
  public static boolean await(long timeoutMillis, java.util.function.BooleanSupplier condition)
      throws InterruptedException {
    long deadlineNanos = System.nanoTime() + timeoutMillis * 1_000_000;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanos) {
        return false;
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
    return true;
  }

  @Override
  public void close() {
    hosts.forEach(HostProcess::stop);
    try {
      deleteTree(baseFolder);
    } catch (IOException e) {
      // The operating system cleans up its temporary folder.
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
