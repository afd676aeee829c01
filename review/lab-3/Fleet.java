import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The project's own processes, started with the commands of its deploy file on loopback addresses.
 * The settings are those of a small deployment (five control hosts, two of which may be lost).
 */
final class Fleet implements AutoCloseable {
  static final int CONTROLS = 5;
  static final int SEEDS = 3;
  private static final Pattern RUN = Pattern.compile("(?m)^run = \"([^\"]+)\"$");

  private final Path repository;
  private final Path folder;
  private final Record record;
  private final String network;
  private final int peerPort;
  private final int controlPort;
  private final int frontPort;
  private final int readyPort;
  private final Map<String, Process> processes = new LinkedHashMap<>();
  private final Map<Integer, Integer> ownEnds = new TreeMap<>();
  private boolean closed;

  Fleet(Path repository, Path folder, Record record) throws IOException {
    this.repository = repository;
    this.folder = folder;
    this.record = record;
    ThreadLocalRandom random = ThreadLocalRandom.current();
    this.network = "127.%d.%d.".formatted(random.nextInt(1, 255), random.nextInt(1, 255));
    List<Integer> ports = freePorts(4);
    this.peerPort = ports.get(0);
    this.controlPort = ports.get(1);
    this.frontPort = ports.get(2);
    this.readyPort = ports.get(3);
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  static List<Integer> freePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < count; i++) {
        sockets.add(new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")));
      }
      return sockets.stream().map(ServerSocket::getLocalPort).toList();
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
  }

  String controlAddress(int number) {
    return network + number + ":" + controlPort;
  }

  List<String> controlAddresses() {
    List<String> all = new ArrayList<>();
    for (int number = 1; number <= CONTROLS; number++) {
      all.add(controlAddress(number));
    }
    return all;
  }

  String frontAddress(int number) {
    return network + (100 + number) + ":" + frontPort;
  }

  String readyAddress(int number) {
    return network + (100 + number) + ":" + readyPort;
  }

  Path log(String name) {
    return folder.resolve(name + ".log");
  }

  /** Starts a control host; bootstrap is true only when the whole system starts the first time. */
  void startControl(int number, boolean bootstrap) throws IOException {
    String name = "core-" + number;
    Path data = folder.resolve("data-" + name);
    Files.createDirectories(data);
    start(
        "control",
        name,
        network + number,
        "\"controlAddress\":\"" + controlAddress(number) + "\",\"dataFolder\":\"" + data
            + "\",\"firstStart\":" + bootstrap + ",");
  }

  void startGateway(int number) throws IOException {
    start(
        "gateway",
        "front-" + number,
        network + (100 + number),
        "\"callerAddress\":\"" + frontAddress(number) + "\",\"readyAddress\":\""
            + readyAddress(number) + "\",");
  }

  private void start(String role, String name, String ip, String roleSettings) throws IOException {
    String seeds = "";
    for (int number = 1; number <= SEEDS; number++) {
      seeds += (number == 1 ? "" : ",") + "\"" + controlAddress(number) + "\"";
    }
    String settings =
        "{\"name\":\"" + name + "\",\"dataCentre\":\"here-a\",\"peerAddress\":\"" + ip + ":"
            + peerPort + "\"," + roleSettings + "\"contacts\":[" + seeds
            + "],\"toleratedLosses\":2,\"drainSeconds\":8,\"retryRatio\":0.2,\"retrySlack\":56,"
            + "\"retryWindowSeconds\":10,\"regions\":{\"here-a\":\"here\"},\"maxDescriptors\":4096,"
            + "\"registrationMillis\":1200,\"protocolFeatures\":[\"base\",\"drain\",\"config\","
            + "\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\"]}\n";
    Path file = folder.resolve(name + ".jsonc");
    Files.writeString(file, settings);
    List<String> command = new ArrayList<>();
    for (String word : command(role).split(" ")) {
      command.add(word.equals("/etc/curranthaven/boot.toml") ? file.toString() : word);
    }
    Process process =
        new ProcessBuilder(command)
            .directory(repository.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log(name).toFile()))
            .start();
    processes.put(name, process);
    record.add("platform starts " + name + " as process " + process.pid());
  }

  private String command(String role) throws IOException {
    String deploy = Files.readString(repository.resolve("deploy/system.toml"));
    String section = deploy.substring(deploy.indexOf("[roles." + role + "]"));
    Matcher run = RUN.matcher(section);
    if (!run.find()) {
      throw new IOException("the deploy file has no command of role " + role);
    }
    return run.group(1);
  }

  /**
   * Starts each control host again that has ended by itself, half a second later, as the platform
   * does; returns how often this happened so far, by machine.
   */
  synchronized Map<Integer, Integer> restartEnded() throws IOException, InterruptedException {
    for (int number = 1; number <= CONTROLS && !closed; number++) {
      Process process = processes.get("core-" + number);
      if (process != null && !process.isAlive()) {
        ownEnds.merge(number, 1, Integer::sum);
        record.add(
            "core-" + number + " has ended by itself with status " + process.exitValue() + ": "
                + lastError("core-" + number));
        Thread.sleep(500);
        startControl(number, false);
      }
    }
    return new TreeMap<>(ownEnds);
  }

  private String lastError(String name) throws IOException {
    String last = "";
    for (String line : Files.readAllLines(log(name))) {
      last = line.contains("process ends") ? line : last;
    }
    return last.replaceAll("^.*\"message\":\"([^\"]*)\".*$", "$1");
  }

  boolean isRunning(String name) {
    return processes.get(name).isAlive();
  }

  void kill(String name) throws InterruptedException {
    record.add("platform kills " + name);
    processes.get(name).destroyForcibly();
    processes.get(name).waitFor(10, TimeUnit.SECONDS);
  }

  /** Sends an order to one control host after the other until one accepts it; returns whether. */
  boolean order(String method, String path, String body, long forMillis)
      throws InterruptedException {
    long end = Record.now() + forMillis;
    for (int turn = 0; Record.now() < end; turn++) {
      String address = controlAddresses().get(turn % CONTROLS);
      try {
        int status = Http.call(address, method, path, body, 3_500).status();
        record.add("operator sends " + method + " " + path + " to " + address + ": " + status);
        if (status == 200) {
          return true;
        }
      } catch (IOException e) {
        record.add("operator sends " + method + " " + path + " to " + address + ": " + e.getMessage());
      }
      Thread.sleep(300);
    }
    return false;
  }

  boolean isReady(int gateway) {
    try {
      return Http.call(readyAddress(gateway), "GET", "/api/ready", "", 1_000).status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  boolean awaitReady(int gateways, long forMillis) throws InterruptedException {
    long end = Record.now() + forMillis;
    for (int number = 1; number <= gateways; number++) {
      while (!isReady(number)) {
        if (Record.now() > end) {
          return false;
        }
        Thread.sleep(100);
      }
      record.add("front-" + number + " says that it is ready");
    }
    return true;
  }

  @Override
  public synchronized void close() {
    closed = true;
    processes.values().forEach(Process::destroyForcibly);
    for (Process process : processes.values()) {
      try {
        process.waitFor(10, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
