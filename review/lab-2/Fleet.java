import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the project's gateways and control hosts as separate
 * processes, started with the commands of the deploy file. Each host has its own loopback address,
 * since all of them use the same ports. All processes are ended by {@link #close}.
 */
final class Fleet implements AutoCloseable {
  private static final int PEER_PORT = 7200;
  private static final int CONTROL_PORT = 8748;
  private static final int CALLER_PORT = 8740;
  private static final int READY_PORT = 8749;
  private static final int START_SECONDS = 40;

  private final Path repository = Path.of("").toAbsolutePath();
  private final Path folder;
  private final Record record;
  private final String network;
  private final Map<String, Process> processes = new LinkedHashMap<>();
  private final List<String> controlHosts = new ArrayList<>();
  private final List<String> gateways = new ArrayList<>();

  /** Starts the hosts and waits until all gateways listen and a leader answers. */
  Fleet(Record record, int controlCount, int gatewayCount) throws Exception {
    this.record = record;
    this.folder = Files.createTempDirectory("review-2-");
    this.network = freeNetwork();
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    for (int i = 0; i < controlCount; i++) {
      controlHosts.add(network + (i + 1));
    }
    for (int i = 0; i < gatewayCount; i++) {
      gateways.add(network + (i + 101));
    }
    for (String host : controlHosts) {
      startControl(host, true);
    }
    for (String host : gateways) {
      startGateway(host);
    }
  }

  /** Returns the first three bytes of a loopback network on which the ports are free. */
  private static String freeNetwork() throws IOException {
    Random random = new Random();
    for (int i = 0; i < 50; i++) {
      String candidate = "127." + (10 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
      try (ServerSocket first = new ServerSocket();
          ServerSocket second = new ServerSocket()) {
        first.bind(new InetSocketAddress(candidate + 1, CONTROL_PORT));
        second.bind(new InetSocketAddress(candidate + 101, CALLER_PORT));
        return candidate;
      } catch (IOException e) {
        // Used by another run: the next candidate is tried.
      }
    }
    throw new IOException("no free loopback network");
  }

  /** Returns a loopback address of this deployment for a stand-in. */
  String address(int hostNumber) {
    return network + hostNumber;
  }

  List<String> controlAddresses() {
    return controlHosts.stream().map(host -> host + ":" + CONTROL_PORT).toList();
  }

  InetSocketAddress caller(int gateway) throws IOException {
    return new InetSocketAddress(InetAddress.getByName(gateways.get(gateway)), CALLER_PORT);
  }

  InetSocketAddress ready(int gateway) throws IOException {
    return new InetSocketAddress(InetAddress.getByName(gateways.get(gateway)), READY_PORT);
  }

  Process process(String host) {
    return processes.get(host);
  }

  String gatewayHost(int gateway) {
    return gateways.get(gateway);
  }

  String controlHost(int number) {
    return controlHosts.get(number);
  }

  private String commonSettings(String host, String name, String zone) {
    String contacts =
        String.join(
            ", ",
            controlAddresses().stream().limit(3).map(address -> "\"" + address + "\"").toList());
    return "\"name\": \"" + name + "\", \"dataCentre\": \"" + zone + "\","
        + " \"peerAddress\": \"" + host + ":" + PEER_PORT + "\","
        + " \"contacts\": [" + contacts + "],"
        + " \"toleratedLosses\": " + (controlHosts.size() - 1) / 2 + ","
        + " \"drainSeconds\": 8, \"retryRatio\": 0.2, \"retrySlack\": 54,"
        + " \"retryWindowSeconds\": 10, \"regions\": {\"" + zone + "\": \"area\"},"
        + " \"maxDescriptors\": 4096, \"registrationMillis\": " + Runner.PING_MILLIS + ","
        + " \"protocolFeatures\": [\"base\", \"drain\", \"config\", \"cost\", \"retry\","
        + " \"recover\", \"engine\", \"stream\", \"tenants\"]";
  }

  void startControl(String host, boolean firstStart) throws IOException {
    String name = "core-" + host.substring(host.lastIndexOf('.') + 1);
    Path data = Files.createDirectories(folder.resolve(name));
    start(
        "control",
        host,
        name,
        "{" + commonSettings(host, name, "zone-a")
            + ", \"controlAddress\": \"" + host + ":" + CONTROL_PORT + "\""
            + ", \"dataFolder\": \"" + data + "\""
            + ", \"firstStart\": " + firstStart + "}");
  }

  void startGateway(String host) throws IOException {
    String name = "front-" + host.substring(host.lastIndexOf('.') + 1);
    start(
        "gateway",
        host,
        name,
        "{" + commonSettings(host, name, "zone-a")
            + ", \"callerAddress\": \"" + host + ":" + CALLER_PORT + "\""
            + ", \"readyAddress\": \"" + host + ":" + READY_PORT + "\"}");
  }

  private void start(String role, String host, String name, String settings) throws IOException {
    Path file = folder.resolve(name + ".jsonc");
    Files.writeString(file, settings);
    List<String> command = new ArrayList<>(List.of(deployedCommand(role).split(" +")));
    command.replaceAll(word -> word.equals("/etc/curranthaven/boot.toml") ? file.toString() : word);
    ProcessBuilder builder = new ProcessBuilder(command).directory(repository.toFile());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
    processes.put(host, builder.start());
    record.add("started " + role + " " + name);
  }

  /** Returns the command of a role, as the deploy file has it. */
  private String deployedCommand(String role) throws IOException {
    String deployFile = Files.readString(repository.resolve("deploy/system.toml"));
    Matcher matcher =
        Pattern.compile("\\[roles\\." + role + "\\].*?\\nrun = \"(.*?)\"", Pattern.DOTALL)
            .matcher(deployFile);
    if (!matcher.find()) {
      throw new IOException("the deploy file has no command for " + role);
    }
    return matcher.group(1);
  }

  /** Publishes a configuration and waits until it is acknowledged and each gateway is ready. */
  void configure(String document) throws Exception {
    long endMillis = System.currentTimeMillis() + START_SECONDS * 1000L;
    int node = 0;
    while (true) {
      Http.Response response = null;
      try {
        response =
            Http.call(
                Http.address(controlAddresses().get(node++ % controlHosts.size())),
                "PUT",
                "/api/config",
                document,
                4_000);
      } catch (IOException e) {
        // The host does not listen yet.
      }
      if (response != null && response.status() == 200) {
        break;
      }
      if (System.currentTimeMillis() > endMillis) {
        throw new IOException("the configuration was not acknowledged");
      }
      Thread.sleep(200);
    }
    record.add("configuration acknowledged");
    for (int i = 0; i < gateways.size(); i++) {
      while (!isReady(i)) {
        if (System.currentTimeMillis() > endMillis) {
          throw new IOException("gateway " + i + " did not become ready");
        }
        Thread.sleep(100);
      }
    }
    record.add("all gateways ready");
  }

  /** Sends a change of the configuration until a host answers it; returns the status. */
  int change(String document) throws Exception {
    for (int i = 0; i < 20; i++) {
      try {
        int status =
            Http.call(
                    Http.address(controlAddresses().get(i % controlHosts.size())),
                    "PUT",
                    "/api/config",
                    document,
                    4_000)
                .status();
        if (status < 500) {
          record.add("change of the configuration answered " + status);
          return status;
        }
      } catch (IOException e) {
        // Sent again, to another host.
      }
      Thread.sleep(200);
    }
    throw new IOException("the change was not answered");
  }

  boolean isReady(int gateway) {
    try {
      return Http.call(ready(gateway), "GET", "/api/ready", "", 1_000).status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Returns the lines of a host's log that contain the text. */
  List<String> logLines(String host, String text) throws IOException {
    String prefix = gateways.contains(host) ? "front-" : "core-";
    Path log = folder.resolve(prefix + host.substring(host.lastIndexOf('.') + 1) + ".log");
    try (Stream<String> lines = Files.lines(log, StandardCharsets.UTF_8)) {
      return lines.filter(line -> line.contains(text)).toList();
    }
  }

  @Override
  public synchronized void close() {
    processes.values().forEach(Process::destroyForcibly);
    for (Process process : processes.values()) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    processes.clear();
    if (System.getenv("KEEP_LOGS") != null) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
    } catch (IOException e) {
      // Removed before.
    }
  }
}
