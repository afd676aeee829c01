package org.curranthaven.platform;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.curranthaven.internal.cli.Main;

/** Control hosts and gateways as processes of their own, which can be killed and started again. */
final class FleetProcesses implements AutoCloseable {
  static final int HOSTS_OF_A_ROLE = 3;

  private static final String CONTROL = "control-";
  private static final String GATEWAY = "gateway-";
  private static final long STOP_TIMEOUT_SECONDS = 10;
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(4);

  private final Path folder;
  private final int peerPort = freePort();
  private final Map<String, Process> processes = new LinkedHashMap<>();
  private final List<String> controlAddresses = new ArrayList<>();
  private final List<String> gatewayAddresses = new ArrayList<>();
  private final HttpClient client =
      HttpClient.newBuilder().followRedirects(HttpClient.Redirect.NORMAL).build();

  FleetProcesses(Path folder) throws IOException {
    this.folder = folder;
    for (int number = 1; number <= HOSTS_OF_A_ROLE; number++) {
      controlAddresses.add("127.0.0.1:" + freePort());
      gatewayAddresses.add("127.0.0.1:" + freePort());
    }
    startAll(true);
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
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
    for (int number = 1; number <= HOSTS_OF_A_ROLE; number++) {
      // All hosts use the same peer port, so each needs a separate IP address.
      String settings = "\"callerAddress\":\"%s\"".formatted(gatewayAddresses.get(number - 1));
      start(GATEWAY + number, "127.0.1." + number, settings);
    }
  }

  private void startControl(int number, boolean firstStart) throws IOException {
    Path dataFolder = Files.createDirectories(folder.resolve(CONTROL + number));
    String settings =
        """
        "controlAddress":"%s","dataFolder":"%s","firstStart":%b"""
            .formatted(controlAddresses.get(number - 1), dataFolder, firstStart);
    start(CONTROL + number, "127.0.0." + number, settings);
  }

  private void start(String name, String ip, String roleSettings) throws IOException {
    String contacts =
        Stream.of(1, 2, 3)
            .map(number -> "\"127.0.0.%d:%d\"".formatted(number, peerPort))
            .reduce((first, second) -> first + "," + second)
            .orElseThrow();
    String settings =
        """
        {"name":"%s","dataCentre":"here","peerAddress":"%s:%d","contacts":[%s],
         "toleratedLosses":1,"drainSeconds":8,"retryRatio":0.2,"retrySlack":100,
         "retryWindowSeconds":10,"registrationMillis":60000,%s}
        """
            .formatted(name, ip, peerPort, contacts, roleSettings);
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
    int status = new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start().waitFor();
    if (status != 0) {
      throw new IllegalStateException("kill -" + signal + " of " + name + " ended with " + status);
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

  /** Suspends all control hosts, or lets them go on. */
  void suspendControls(boolean suspended) throws Exception {
    for (int number = 1; number <= HOSTS_OF_A_ROLE; number++) {
      sendSignal(CONTROL + number, suspended ? "STOP" : "CONT");
    }
  }

  private void kill(String prefix) throws InterruptedException {
    List<Process> killed =
        processes.entrySet().stream()
            .filter(entry -> entry.getKey().startsWith(prefix))
            .map(Map.Entry::getValue)
            .toList();
    killed.forEach(Process::destroyForcibly);
    for (Process process : killed) {
      process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
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
    for (int attempt = 0; ; attempt++) {
      String address = addresses.get(attempt % addresses.size());
      if (controlStatus(address, method, path, body) == 200) {
        return;
      }
      Thread.sleep(50);
    }
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

  /** Waits until every gateway knows the catalog. */
  void awaitGateways() throws Exception {
    for (String address : gatewayAddresses) {
      while (statusOfUnknownRoute(address) != 404) {
        Thread.sleep(50);
      }
    }
  }

  private static int statusOfUnknownRoute(String address) {
    try (Socket socket = connect(address)) {
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
    int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
    return new Socket(InetAddress.getLoopbackAddress(), port);
  }

  @Override
  public void close() throws InterruptedException {
    kill("");
  }
}
