package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.cli.Main;
import org.curranthaven.internal.standin.LocalFleet;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a process that goes on without one of the threads that it needs. */
@Timeout(90)
class FailingThreadsTest {
  private static final long START_TIMEOUT_SECONDS = 30;
  private static final long EXIT_TIMEOUT_SECONDS = 15;
  private static final int SOCKET_TIMEOUT_MILLIS = 1_000;

  @TempDir Path folder;

  private String peerAddress = "";
  private String address = "";
  private @Nullable Process process;

  @BeforeEach
  void chooseAddresses() throws Exception {
    List<String> addresses = LocalFleet.freeAddresses(2);
    peerAddress = addresses.get(0);
    address = addresses.get(1);
  }

  @AfterEach
  void endProcess() throws Exception {
    if (process != null) {
      process.destroyForcibly().waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"handler", "task", "submitted-task", "timer", "periodic-timer", "other-thread"})
  void a_gateway_with_an_error_in_a_thread_ends(String failure) throws Exception {
    Process gateway = start("\"callerAddress\":\"" + address + "\"");

    requestUntilEnded(gateway, "GET", FailingProtocol.PREFIX + failure, "");

    assertEndedByError(gateway);
  }

  @ParameterizedTest
  @ValueSource(strings = {"handler", "task", "timer", "periodic-timer"})
  void a_control_host_with_an_error_in_its_event_loop_ends(String failure) throws Exception {
    Process control = startControl();

    requestUntilEnded(control, "GET", FailingProtocol.PREFIX + failure, "");

    assertEndedByError(control);
  }

  @Test
  void a_control_host_with_an_error_in_its_consensus_thread_ends() throws Exception {
    Process control = startControl();

    requestUntilEnded(
        control,
        "PUT",
        "/api/config",
        """
        {"version":1,"routes":[{"name":"%s","host":"a.example","pathPrefix":"/","kind":"idempotent",
          "timeoutMs":1000,"targetLatencyMs":500,"priority":0,"service":"s","attempts":1}],
         "services":[{"name":"s","healthPath":"/health","maxConns":10}],
         "limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,
           "idleTimeoutMs":15000},
         "tenants":[]}
        """
            .formatted(FailingProtocol.CONSENSUS_MARK));

    assertEndedByError(control);
  }

  @Test
  void a_gateway_whose_memory_does_not_suffice_for_a_log_line_ends() throws Exception {
    Process gateway = start("\"callerAddress\":\"" + address + "\"");

    requestUntilEnded(gateway, "GET", FailingProtocol.PREFIX + "memory", "");

    assertThat(gateway.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    assertThat(gateway.exitValue()).isNotZero();
  }

  @Test
  void a_gateway_whose_network_thread_cannot_listen_ends() throws Exception {
    int port = Integer.parseInt(peerAddress.substring(peerAddress.indexOf(':') + 1));
    try (ServerSocket taken = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      assertThat(taken.isBound()).isTrue();
      Process gateway = start("\"callerAddress\":\"" + address + "\"");

      assertThat(gateway.waitFor(START_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
      assertEndedByError(gateway);
    }
  }

  private Process startControl() throws IOException {
    return start(
        "\"controlAddress\":\"%s\",\"dataFolder\":\"%s\",\"firstStart\":true"
            .formatted(address, Files.createDirectories(folder.resolve("data"))));
  }

  private Process start(String roleSettings) throws IOException {
    Path file = folder.resolve("settings.jsonc");
    Files.writeString(
        file,
        """
        {"name":"host-1","dataCentre":"here","peerAddress":"%s","contacts":["%s"],
         "toleratedLosses":0,"drainSeconds":8,"retryRatio":0.2,"retrySlack":100,
         "retryWindowSeconds":10,"registrationMillis":60000,%s}
        """
            .formatted(peerAddress, peerAddress, roleSettings));
    Process started =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "serve-routed",
                "--protocol",
                FailingProtocol.NAME,
                "--settings",
                file.toString())
            .redirectErrorStream(true)
            .redirectOutput(log())
            .start();
    process = started;
    return started;
  }

  private File log() {
    return folder.resolve("host.log").toFile();
  }

  /** Sends a request again and again until one was received, and then until the process ends. */
  private void requestUntilEnded(Process target, String method, String path, String body)
      throws Exception {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_SECONDS);
    boolean sent = false;
    while (!sent && System.nanoTime() < endNanos && target.isAlive()) {
      sent = request(method, path, body);
      Thread.sleep(50);
    }
    // A control host without a leader takes the request in, and rejects it.
    endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(EXIT_TIMEOUT_SECONDS);
    while (System.nanoTime() < endNanos && target.isAlive()) {
      if (method.equals("PUT")) {
        request(method, path, body);
      }
      Thread.sleep(50);
    }
  }

  private boolean request(String method, String path, String body) {
    try (Socket socket = FleetProcesses.connect(address)) {
      socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
      FakeBackend.write(
          socket,
          "%s %s HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n%s"
              .formatted(method, path, body.getBytes(StandardCharsets.UTF_8).length, body));
      socket.getInputStream().read();
      return true;
    } catch (java.net.ConnectException e) {
      return false; // The process does not listen yet, or has ended.
    } catch (IOException e) {
      return true; // The process ended, or does not respond.
    }
  }

  private void assertEndedByError(Process target) throws Exception {
    assertThat(target.isAlive()).as("process goes on").isFalse();
    assertThat(target.exitValue()).isEqualTo(ResultCode.INTERNAL.exitCode());
    assertThat(Files.readString(log().toPath())).contains("\"level\":\"ERROR\"", "process ends");
  }
}
