package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Stream;
import org.curranthaven.internal.cli.Main;
import org.curranthaven.internal.standin.LocalFleet;

/**
 * A control host and a gateway as processes of their own with lowered limits, and a backend server,
 * for crowds of clients that do not behave.
 */
final class CrowdedHosts implements AutoCloseable {
  /** Heap of each process; the deployed ones have 96 and 128 MB. */
  private static final int HEAP_MEGABYTES = 64;

  /** Descriptors that a process of the lowered limit must leave for what it opens itself. */
  private static final int UNUSED_DESCRIPTORS = 16;

  private static final int SOCKET_TIMEOUT_MILLIS = 20_000;
  private static final int OK = 200;
  private static final long BYTES_PER_MEGABYTE = 1024 * 1024;
  private static final long SLOW_RESPONSE_MILLIS = 2_000;
  private static final int LARGE_RESPONSE_BYTES = 60_000;
  private static final long SAMPLE_MILLIS = 50;

  private static final String CATALOG =
      """
      {"version":1,"routes":[
        {"name":"quick","host":"site.example","pathPrefix":"/quick/","kind":"idempotent",
         "timeoutMs":20000,"targetLatencyMs":10000,"priority":0,"service":"plain","attempts":2},
        {"name":"slow","host":"site.example","pathPrefix":"/slow/","kind":"idempotent",
         "timeoutMs":20000,"targetLatencyMs":10000,"priority":1,"service":"plain","attempts":1},
        {"name":"large","host":"site.example","pathPrefix":"/large/","kind":"idempotent",
         "timeoutMs":20000,"targetLatencyMs":10000,"priority":1,"service":"plain","attempts":1}],
       "services":[{"name":"plain","healthPath":"/health","maxConns":1000}],
       "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
         "idleTimeoutMs":15000},
       "tenants":[{"name":"t1","apiKeys":["k1"]}]}
      """;

  private final Path folder;
  private final int descriptors;
  private final Map<Host, Process> processes = new LinkedHashMap<>();
  private final Map<Host, Integer> mostDescriptors = new LinkedHashMap<>();
  private final Map<Door, String> addresses = new LinkedHashMap<>();
  private final FakeBackend backend = new FakeBackend(CrowdedHosts::respond);

  /** A process, and the memory that it may take. */
  enum Host {
    // The smallest deployed machines have 258 and 426 MB for heaps of 96 and 128 MB.
    GATEWAY(258 - (96 - HEAP_MEGABYTES)),
    CONTROL(426 - (128 - HEAP_MEGABYTES));

    private final long memoryMegabytes;

    Host(long memoryMegabytes) {
      this.memoryMegabytes = memoryMegabytes;
    }
  }

  /** An address at which clients connect. */
  enum Door {
    CALLERS,
    READINESS,
    GATEWAY_METRICS,
    GATEWAY_PEERS,
    CONTROL,
    CONTROL_PEERS
  }

  /**
   * Starts the hosts and waits until the gateway serves.
   *
   * @param descriptors limit on the open descriptors of each process
   */
  CrowdedHosts(Path folder, int descriptors) throws Exception {
    this.folder = folder;
    this.descriptors = descriptors;
    List<String> free = new ArrayList<>(LocalFleet.freeAddresses(Door.values().length));
    for (Door door : Door.values()) {
      addresses.put(door, free.removeFirst());
    }
    // All hosts use the same peer port, so each needs a separate IP address.
    String peerAddress = address(Door.CONTROL_PEERS);
    addresses.put(Door.GATEWAY_PEERS, peerAddress.replace("127.0.0.1", "127.0.0.2"));
    start(
        Host.CONTROL,
        peerAddress,
        "\"controlAddress\":\"%s\",\"dataFolder\":\"%s\",\"firstStart\":true"
            .formatted(address(Door.CONTROL), Files.createDirectories(folder.resolve("data"))));
    start(
        Host.GATEWAY,
        address(Door.GATEWAY_PEERS),
        "\"callerAddress\":\"%s\",\"readyAddress\":\"%s\",\"statusAddress\":\"%s\""
            .formatted(
                address(Door.CALLERS), address(Door.READINESS), address(Door.GATEWAY_METRICS)));
    BoundedWait.until("catalog accepted", () -> control("PUT", "/api/config", CATALOG) == OK);
    String registration =
        """
        {"service":"plain","address":"%s","zone":"here","version":"v1","slots":64,
         "state":"ready","coldLeftMs":0,"seq":1}"""
            .formatted(backend.address());
    BoundedWait.until(
        "registration accepted", () -> control("PUT", "/api/runners/i-1", registration) == OK);
    BoundedWait.until("gateway serves", () -> quickStatus() == OK);
  }

  private void start(Host host, String peerAddress, String roleSettings) throws IOException {
    Path file = folder.resolve(host + ".jsonc");
    Files.writeString(
        file,
        """
        {"name":"%s","dataCentre":"here","peerAddress":"%s","contacts":["%s"],
         "toleratedLosses":0,"drainSeconds":8,"retryRatio":0.2,"retrySlack":100,
         "retryWindowSeconds":10,"registrationMillis":600000,%s}
        """
            .formatted(host, peerAddress, address(Door.CONTROL_PEERS), roleSettings));
    processes.put(
        host,
        startLimited(
            descriptors,
            folder.resolve(host + ".log"),
            "serve-routed",
            "--protocol",
            "platform",
            "--settings",
            file.toString()));
  }

  /** Starts a command of the program with the deployed options, a small heap and a limit. */
  static Process startLimited(int descriptors, Path log, String... arguments) throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of("/bin/sh", "-c", "ulimit -n " + descriptors + " && exec \"$0\" \"$@\""));
    command.addAll(
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx" + HEAP_MEGABYTES + "m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-cp",
            System.getProperty("java.class.path"),
            Main.class.getName()));
    command.addAll(List.of(arguments));
    return new ProcessBuilder(command)
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
        .start();
  }

  private static void respond(FakeBackend.ReceivedRequest request, Socket connection)
      throws Exception {
    String path = request.line().split(" ", 3)[1];
    if (path.startsWith("/slow/")) {
      Thread.sleep(SLOW_RESPONSE_MILLIS);
    }
    int bytes = path.startsWith("/large/") ? LARGE_RESPONSE_BYTES : 2;
    FakeBackend.write(connection, FakeBackend.response(request, OK, "x".repeat(bytes)));
  }

  String address(Door door) {
    return Objects.requireNonNull(addresses.get(door));
  }

  /** Has a crowd at a door for a time, while the descriptors of its process are counted. */
  void crowd(Door door, int connections, List<HostileClients.Script> scripts, long durationMillis)
      throws Exception {
    Thread sampler = Thread.ofVirtual().start(this::sampleDescriptors);
    try {
      HostileClients.run(address(door), connections, scripts, durationMillis);
    } finally {
      sampler.interrupt();
      sampler.join();
    }
  }

  private void sampleDescriptors() {
    try {
      while (true) {
        processes.forEach(
            (host, process) -> mostDescriptors.merge(host, openDescriptors(process), Math::max));
        Thread.sleep(SAMPLE_MILLIS);
      }
    } catch (InterruptedException e) {
      // The crowd has gone.
    }
  }

  /** Returns the number of open descriptors of a process; 0 once it has ended. */
  static int openDescriptors(Process process) {
    try (Stream<Path> files = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
      return (int) files.count();
    } catch (IOException e) {
      return 0;
    }
  }

  /** Returns the most memory that a process has had. */
  static long peakMegabytes(Process process) throws IOException {
    return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
            .filter(line -> line.startsWith("VmHWM:"))
            .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
            .findFirst()
            .orElseThrow()
        * 1024
        / BYTES_PER_MEGABYTE;
  }

  /**
   * Checks that both processes run within their limits, and that ordinary requests at the door of
   * the crowd and at those of callers and operators are answered.
   */
  void assertHealthyAfter(Door door) throws Exception {
    assertWithinLimits();
    switch (door) {
      case READINESS -> awaitAnswer(door, "GET", "/api/ready");
      case GATEWAY_METRICS -> awaitAnswer(door, "GET", "/metrics");
      default -> {}
    }
    BoundedWait.until("a caller's request answered", this::describe, () -> quickStatus() == OK);
    awaitAnswer(Door.CONTROL, "GET", "/api/config");
    assertWithinLimits();
  }

  private void awaitAnswer(Door door, String method, String path) throws Exception {
    BoundedWait.until(
        method + " " + path + " answered at " + door,
        this::describe,
        () -> status(door, method, path, "") == OK);
  }

  private void assertWithinLimits() throws IOException {
    for (Map.Entry<Host, Process> entry : processes.entrySet()) {
      assertThat(entry.getValue().isAlive()).as(entry.getKey() + " runs" + describe()).isTrue();
      assertThat(peakMegabytes(entry.getValue()))
          .as("memory of " + entry.getKey())
          .isLessThanOrEqualTo(entry.getKey().memoryMegabytes);
      assertThat(mostDescriptors.getOrDefault(entry.getKey(), 0))
          .as("descriptors of " + entry.getKey())
          .isLessThanOrEqualTo(descriptors - UNUSED_DESCRIPTORS);
    }
  }

  private int quickStatus() {
    return status(Door.CALLERS, "GET", "/quick/a", "");
  }

  private int control(String method, String path, String body) {
    return status(Door.CONTROL, method, path, body);
  }

  private int status(Door door, String method, String path, String body) {
    String request =
        """
        %s %s HTTP/1.1\r
        Host: site.example\r
        Attempt-Id: ordinary\r
        Deadline-Ms: 20000\r
        X-Api-Key: k1\r
        Connection: close\r
        Content-Length: %d\r
        \r
        %s"""
            .formatted(method, path, body.length(), body);
    return statusOf(exchange(door, request));
  }

  /** Returns the status in a status line; 0 if there is none. */
  static int statusOf(String statusLine) {
    return statusLine.isEmpty() ? 0 : RoutedFleetFixture.status(statusLine);
  }

  /** Sends a request at a door; returns its status line, or nothing if there is no response. */
  String exchange(Door door, String request) {
    return exchange(address(door), request);
  }

  /** Sends a request to an address; returns its status line, or nothing if there is no response. */
  static String exchange(String address, String request) {
    try (Socket socket = FleetProcesses.connect(address)) {
      socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      return RawHttp.readLine(socket.getInputStream());
    } catch (IOException e) {
      return ""; // Refused, closed or unanswered.
    }
  }

  /** Returns which processes run, what they have taken, and the ends of their logs. */
  private String describe() {
    StringBuilder text = new StringBuilder();
    processes.forEach(
        (host, process) ->
            text.append(
                "%n%s: %s, at most %d descriptors%n%s"
                    .formatted(
                        host,
                        process.isAlive() ? "runs" : "ended with " + process.exitValue(),
                        mostDescriptors.getOrDefault(host, 0),
                        FleetProcesses.lastLines(folder.resolve(host + ".log")))));
    return text.toString();
  }

  @Override
  public void close() throws Exception {
    for (Process process : processes.values()) {
      process.destroyForcibly().waitFor();
    }
    backend.close();
  }
}
