package org.curranthaven.platform;

import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.curranthaven.internal.cli.Main;
import org.curranthaven.internal.standin.LocalFleet;

/** Control hosts and gateways as processes of their own, which can be killed and started again. */
final class FleetProcesses implements AutoCloseable {
  static final int HOSTS_OF_A_ROLE = 3;

  private static final int DEFAULT_RETRY_SLACK = 100;
  private static final String CONTROL = "control-";
  private static final String GATEWAY = "gateway-";
  private static final long STOP_TIMEOUT_SECONDS = 10;
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(4);

  private static final int FIRST_GATEWAY_IP = 100;
  private static final int FIRST_DELAYED_IP = 200;
  private static final int LOG_LINES = 5;

  private final Path folder;
  private final Shape shape;
  private final List<DelayedConnections> delays = new ArrayList<>();

  /** First octets of the loopback addresses of this fleet, apart from those of other fleets. */
  private final String network;

  private final int peerPort;
  private final Map<String, Process> processes = Collections.synchronizedMap(new LinkedHashMap<>());
  private final List<String> controlAddresses = new ArrayList<>();
  private final List<String> gatewayAddresses = new ArrayList<>();
  private final HttpClient client =
      HttpClient.newBuilder().followRedirects(HttpClient.Redirect.NORMAL).build();

  /**
   * Number and settings of the hosts.
   *
   * @param dataCentres data centres of the hosts, in turn
   * @param delayed whether messages between gateways and control hosts may be held up
   */
  record Shape(int gateways, int retrySlack, List<String> dataCentres, boolean delayed) {}

  FleetProcesses(Path folder) throws IOException {
    this(folder, new Shape(HOSTS_OF_A_ROLE, DEFAULT_RETRY_SLACK, List.of("here"), false));
  }

  FleetProcesses(Path folder, Shape shape) throws IOException {
    this.folder = folder;
    this.shape = shape;
    ThreadLocalRandom random = ThreadLocalRandom.current();
    this.network = "127.%d.%d.".formatted(random.nextInt(1, 255), random.nextInt(256));
    // Ports that the operating system gives to no outgoing connection.
    Iterator<Integer> ports =
        LocalFleet.freeAddresses(1 + HOSTS_OF_A_ROLE + shape.gateways()).stream()
            .map(address -> Integer.parseInt(address.substring(address.indexOf(':') + 1)))
            .iterator();
    this.peerPort = ports.next();
    for (int number = 1; number <= HOSTS_OF_A_ROLE; number++) {
      controlAddresses.add(controlIp(number) + ":" + ports.next());
    }
    for (int number = 1; number <= shape.gateways(); number++) {
      gatewayAddresses.add(gatewayIp(number) + ":" + ports.next());
    }
    for (int number = 1; shape.delayed() && number <= HOSTS_OF_A_ROLE; number++) {
      delays.add(new DelayedConnections(controlIp(number) + ":" + peerPort, delayedIp(number)));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::destroyAll));
    startAll(true);
  }

  private String controlIp(int number) {
    return network + number;
  }

  private String gatewayIp(int number) {
    return network + (FIRST_GATEWAY_IP + number);
  }

  /** Returns the address through which gateways reach a control host if messages are held up. */
  private String delayedIp(int number) {
    return network + (FIRST_DELAYED_IP + number);
  }

  List<String> controlAddresses() {
    return controlAddresses;
  }

  List<String> gatewayAddresses() {
    return gatewayAddresses;
  }

  private void startAll(boolean firstStart) throws IOException {
    for (int number = 1; number <= HOSTS_OF_A_ROLE; number++) {
      startControl(number, firstStart);
    }
    startGateways();
  }

  /** Starts all gateways. */
  void startGateways() throws IOException {
    for (int number = 1; number <= gatewayAddresses.size(); number++) {
      startGateway(number);
    }
  }

  /** Starts a gateway that does not run. */
  void startGateway(int number) throws IOException {
    // All hosts use the same peer port, so each needs a separate IP address.
    String settings = "\"callerAddress\":\"%s\"".formatted(gatewayAddresses.get(number - 1));
    start(GATEWAY + number, gatewayIp(number), settings);
  }

  /** Registers a backend server of the plain service as {@code i-NUMBER}. */
  void registerPlainServer(int number, FakeBackend server) throws Exception {
    control(
        "PUT",
        "/api/runners/i-" + number,
        """
        {"service":"plain","address":"%s","zone":"here","version":"v1","slots":64,
         "state":"ready","coldLeftMs":0,"seq":1}
        """
            .formatted(server.address()));
  }

  /** Returns whether the process of a gateway runs. */
  boolean isGatewayRunning(int number) {
    return Objects.requireNonNull(processes.get(GATEWAY + number)).isAlive();
  }

  /** Kills a gateway, or stops it as planned, and waits until it has ended. */
  void stopGateway(int number, boolean planned) throws Exception {
    stop(GATEWAY + number, planned);
  }

  /** Kills a control host, and starts it again with its data folder after a time. */
  void killAndRestartControl(int number, long pauseMillis) throws Exception {
    stop(CONTROL + number, false);
    Thread.sleep(pauseMillis);
    startControl(number, false);
  }

  private void stop(String name, boolean planned) throws Exception {
    Process process = Objects.requireNonNull(processes.get(name));
    if (planned) {
      process.destroy();
    } else {
      process.destroyForcibly();
    }
    if (!process.waitFor(2 * STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      process.destroyForcibly();
      throw new IllegalStateException(name + " did not end");
    }
  }

  private void startControl(int number, boolean firstStart) throws IOException {
    Path dataFolder = Files.createDirectories(folder.resolve(CONTROL + number));
    String settings =
        """
        "controlAddress":"%s","dataFolder":"%s","firstStart":%b"""
            .formatted(controlAddresses.get(number - 1), dataFolder, firstStart);
    start(CONTROL + number, controlIp(number), settings);
  }

  private void start(String name, String peerIp, String roleSettings) throws IOException {
    boolean delayed = shape.delayed() && name.startsWith(GATEWAY);
    String contacts =
        Stream.of(1, 2, 3)
            .map(number -> delayed ? delayedIp(number) : controlIp(number))
            .map(ip -> "\"%s:%d\"".formatted(ip, peerPort))
            .reduce((first, second) -> first + "," + second)
            .orElseThrow();
    // Of two connections, hosts keep the one that was dialled by the host with the lower name.
    String hostName = delayed ? "a-" + name : name;
    String settings =
        """
        {"name":"%s","dataCentre":"%s","peerAddress":"%s:%d","contacts":[%s],
         "toleratedLosses":1,"drainSeconds":8,"retryRatio":0.2,"retrySlack":%d,
         "retryWindowSeconds":10,"registrationMillis":60000,%s}
        """
            .formatted(
                hostName,
                dataCentre(name),
                peerIp,
                peerPort,
                contacts,
                shape.retrySlack(),
                roleSettings);
    Path file = folder.resolve(name + ".jsonc");
    Files.writeString(file, settings);
    File log = folder.resolve(name + ".log").toFile();
    processes.put(
        name,
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx96m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "serve-routed",
                "--protocol",
                "platform",
                "--settings",
                file.toString())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start());
  }

  private String dataCentre(String name) {
    int number = Integer.parseInt(name.substring(name.indexOf('-') + 1));
    return shape.dataCentres().get(number % shape.dataCentres().size());
  }

  /**
   * Fills the disk of a control host, as its process sees it: no file grows beyond a size. Its log
   * is cut off as well.
   */
  void fillDisk(int control, long bytes) throws Exception {
    limitFileSize(control, Long.toString(bytes));
  }

  /** Makes room on the disk of a control host again. */
  void clearDisk(int control) throws Exception {
    limitFileSize(control, "unlimited");
  }

  private void limitFileSize(int control, String bytes) throws Exception {
    long pid = Objects.requireNonNull(processes.get(CONTROL + control)).pid();
    run("prlimit", "--pid", Long.toString(pid), "--fsize=" + bytes + ":");
  }

  /** Returns whether the process of a control host runs. */
  boolean isControlRunning(int number) {
    return Objects.requireNonNull(processes.get(CONTROL + number)).isAlive();
  }

  /** Returns how many control hosts run. */
  long runningControls() {
    return IntStream.rangeClosed(1, HOSTS_OF_A_ROLE).filter(this::isControlRunning).count();
  }

  /** Returns the data folder of a control host. */
  Path dataFolder(int control) {
    return folder.resolve(CONTROL + control);
  }

  /** Suspends the gateway with the given number until {@link #resumeGateway}. */
  void suspendGateway(int number) throws Exception {
    sendSignal(GATEWAY + number, "STOP");
  }

  void resumeGateway(int number) throws Exception {
    sendSignal(GATEWAY + number, "CONT");
  }

  /** Suspends the control host with the given number until {@link #resumeControl}. */
  void suspendControl(int number) throws Exception {
    sendSignal(CONTROL + number, "STOP");
  }

  void resumeControl(int number) throws Exception {
    sendSignal(CONTROL + number, "CONT");
  }

  private void sendSignal(String name, String signal) throws Exception {
    long pid = Objects.requireNonNull(processes.get(name)).pid();
    run("kill", "-" + signal, Long.toString(pid));
  }

  private static void run(String... command) throws Exception {
    Process process = new ProcessBuilder(command).start();
    if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      throw new IllegalStateException(String.join(" ", command) + " did not end");
    }
    if (process.exitValue() != 0) {
      throw new IllegalStateException(
          String.join(" ", command) + " ended with " + process.exitValue());
    }
  }

  /** Kills all gateways at once, without a planned stop. */
  void killGateways() throws InterruptedException {
    kill(GATEWAY);
  }

  /** Kills all hosts at once, and starts them again with their data folders. */
  void killAndRestartAll() throws Exception {
    kill("");
    startAll(false);
  }

  /** Kills some gateways and the leader at once, and starts them again after a time. */
  void killAndRestartWithLeader(List<Integer> gateways, long pauseMillis) throws Exception {
    int leader = leader();
    Set<String> names = new HashSet<>(Set.of(CONTROL + leader));
    gateways.forEach(number -> names.add(GATEWAY + number));
    kill(names::contains);
    Thread.sleep(pauseMillis);
    for (int number : gateways) {
      startGateway(number);
    }
    startControl(leader, false);
  }

  /** Returns the number of the control host that schedules now, as its log tells. */
  private int leader() throws Exception {
    for (int number = 1; number <= HOSTS_OF_A_ROLE; number++) {
      String log = Files.readString(folder.resolve(CONTROL + number + ".log"));
      if (log.lastIndexOf("started scheduling") > log.lastIndexOf("stopped scheduling")) {
        return number;
      }
    }
    throw new IllegalStateException("no control host schedules");
  }

  /** Suspends all control hosts, or lets them go on. */
  void suspendControls(boolean suspended) throws Exception {
    for (int number = 1; number <= HOSTS_OF_A_ROLE; number++) {
      sendSignal(CONTROL + number, suspended ? "STOP" : "CONT");
    }
  }

  private void kill(String prefix) throws InterruptedException {
    kill(name -> name.startsWith(prefix));
  }

  private void kill(Predicate<String> isKilled) throws InterruptedException {
    List<Process> killed =
        processes.entrySet().stream()
            .filter(entry -> isKilled.test(entry.getKey()))
            .map(Map.Entry::getValue)
            .toList();
    killed.forEach(Process::destroyForcibly);
    for (Process process : killed) {
      if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        throw new IllegalStateException("process " + process.pid() + " did not end after SIGKILL");
      }
    }
  }

  /** Returns what forwards the messages between the gateways and a control host. */
  DelayedConnections delays(int control) {
    return delays.get(control - 1);
  }

  /** Returns the control address of a control host, whose number starts at 1. */
  String controlAddress(int number) {
    return controlAddresses.get(number - 1);
  }

  /** Sends a control request to one host after the other until it is accepted. */
  void control(String method, String path, String body) throws Exception {
    control(controlAddresses, method, path, body);
  }

  /** Sends a control request to some hosts, one after the other, until it is accepted. */
  void control(List<String> addresses, String method, String path, String body) throws Exception {
    Iterator<String> inTurn = Stream.generate(() -> addresses).flatMap(List::stream).iterator();
    BoundedWait.until(
        method + " " + path + " accepted by one of " + addresses,
        this::describeHosts,
        () -> controlStatus(inTurn.next(), method, path, body) == 200);
  }

  private int controlStatus(String address, String method, String path, String body)
      throws InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .timeout(REQUEST_TIMEOUT)
            .build();
    try {
      return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
    } catch (IOException e) {
      return 0; // The host is not running, or did not respond in time.
    }
  }

  /** Sends a control request to one host, whatever becomes of it. */
  void offer(int number, String method, String path, String body) throws InterruptedException {
    controlStatus(controlAddress(number), method, path, body);
  }

  /** Returns the addresses at which control hosts accept other hosts. */
  List<String> controlPeerAddresses() {
    return IntStream.rangeClosed(1, HOSTS_OF_A_ROLE)
        .mapToObj(number -> controlIp(number) + ":" + peerPort)
        .toList();
  }

  /** Waits until every gateway knows the catalog. */
  void awaitGateways() throws Exception {
    for (String address : gatewayAddresses) {
      BoundedWait.until(
          "gateway at " + address + " answers 404 on an unknown route",
          this::describeHosts,
          () -> statusOfUnknownRoute(address) == 404);
    }
  }

  private static int statusOfUnknownRoute(String address) {
    try (Socket socket = connect(address)) {
      socket.setSoTimeout((int) REQUEST_TIMEOUT.toMillis());
      FakeBackend.write(
          socket,
          """
          GET /nowhere/ HTTP/1.1\r
          Host: site.example\r
          Attempt-Id: probe\r
          X-Api-Key: k1\r
          Connection: close\r
          \r
          """);
      String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      return response.isEmpty() ? 0 : RoutedFleetFixture.status(response);
    } catch (IOException e) {
      return 0; // The gateway does not listen yet.
    }
  }

  static Socket connect(String address) throws IOException {
    return new BoundedSocket(address);
  }

  /** Returns whether each host runs, and the last lines of its log. */
  String describeHosts() {
    StringBuilder text = new StringBuilder();
    processes.forEach(
        (name, process) ->
            text.append(
                "%n%s, %s:%n%s"
                    .formatted(
                        name,
                        process.isAlive() ? "runs" : "ended with " + process.exitValue(),
                        lastLines(folder.resolve(name + ".log")))));
    return text.toString();
  }

  static String lastLines(Path log) {
    try {
      List<String> lines = Files.readAllLines(log);
      return String.join("\n", lines.subList(Math.max(0, lines.size() - LOG_LINES), lines.size()));
    } catch (IOException e) {
      return e.toString();
    }
  }

  private void destroyAll() {
    processes.values().forEach(Process::destroyForcibly);
  }

  @Override
  public void close() throws IOException, InterruptedException {
    kill("");
    for (DelayedConnections each : delays) {
      each.close();
    }
  }
}
