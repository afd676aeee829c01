package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.curranthaven.internal.standin.LocalFleet;
import org.curranthaven.platform.HostileClients.Script;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against clients that end a host of the completions interface. */
@Timeout(180)
class CompletionsCrowdsTest {
  private static final int HOSTS = 1;
  private static final int DESCRIPTORS = 4_100;
  private static final int FEW_DESCRIPTORS = 512;
  private static final int UNUSED_DESCRIPTORS = 16;
  private static final int MAX_BODY_BYTES = 1_048_576;
  private static final long CROWD_MILLIS = 6_000;
  private static final long SAMPLE_MILLIS = 50;

  /** The smallest deployed machine has 258 MB for a heap of 96 MB, this test's is 64 MB. */
  private static final long MEMORY_MEGABYTES = 258 - (96 - 64);

  @TempDir Path folder;

  private final List<Process> hosts = new ArrayList<>();
  private List<String> httpAddresses = List.of();
  private List<String> peerAddresses = List.of();
  private String httpAddress = "";
  private String peerAddress = "";

  @BeforeEach
  void chooseAddresses() throws Exception {
    List<String> addresses = LocalFleet.freeAddresses(2 * HOSTS);
    httpAddresses = addresses.subList(0, HOSTS);
    peerAddresses = addresses.subList(HOSTS, 2 * HOSTS);
    httpAddress = httpAddresses.getFirst();
    peerAddress = peerAddresses.getFirst();
  }

  @AfterEach
  void endHosts() throws Exception {
    for (Process host : hosts) {
      host.destroyForcibly().waitFor();
    }
  }

  /** Starts the host. */
  private Process start(int descriptors) throws Exception {
    for (int number = 0; number < HOSTS; number++) {
      hosts.add(startHost(number, descriptors));
    }
    BoundedWait.until("host ready", this::log, () -> status("/healthz") == 200);
    return hosts.getFirst();
  }

  private Process startHost(int number, int descriptors) throws Exception {
    Path file = folder.resolve("host-" + number + ".jsonc");
    String controlHosts = "\"" + String.join("\",\"", peerAddresses) + "\"";
    Files.writeString(
        file,
        """
        {"name":"host-%d","dataCentre":"a","httpAddress":"%s","peerAddress":"%s",
         "roles":["gateway","control"],"dataFolder":"%s","controlHosts":[%s],
         "maxBodyBytes":%d}
        """
            .formatted(
                number,
                httpAddresses.get(number),
                peerAddresses.get(number),
                Files.createDirectories(folder.resolve("data-" + number)),
                controlHosts,
                MAX_BODY_BYTES));
    return CrowdedHosts.startLimited(
        descriptors,
        folder.resolve("host-" + number + ".log"),
        "serve",
        "--settings",
        file.toString());
  }

  private String log() {
    return FleetProcesses.lastLines(folder.resolve("host-0.log"));
  }

  private int status(String path) {
    String request = "GET %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".formatted(path);
    return CrowdedHosts.statusOf(CrowdedHosts.exchange(httpAddress, request));
  }

  private void assertHealthyAfter(
      String address, int descriptors, int connections, List<Script> scripts) throws Exception {
    Process started = start(descriptors);
    int[] mostDescriptors = new int[1];
    Thread sampler =
        Thread.ofVirtual()
            .start(
                () -> {
                  while (!Thread.currentThread().isInterrupted()) {
                    int open = CrowdedHosts.openDescriptors(started);
                    mostDescriptors[0] = Math.max(mostDescriptors[0], open);
                    LockSupport.parkNanos(SAMPLE_MILLIS * 1_000_000);
                  }
                });

    HostileClients.run(address, connections, scripts, CROWD_MILLIS);
    sampler.interrupt();
    sampler.join();

    assertThat(started.isAlive()).as("host runs%n%s", log()).isTrue();
    BoundedWait.until("a request answered", this::log, () -> status("/healthz") == 200);
    assertThat(started.isAlive()).as("host runs%n%s", log()).isTrue();
    assertThat(CrowdedHosts.peakMegabytes(started)).isLessThanOrEqualTo(MEMORY_MEGABYTES);
    assertThat(mostDescriptors[0]).isLessThanOrEqualTo(descriptors - UNUSED_DESCRIPTORS);
  }

  @Test
  void silent_connections() throws Exception {
    assertHealthyAfter(httpAddress, FEW_DESCRIPTORS, 800, List.of(Script.silent()));
  }

  @Test
  void silent_connections_at_the_address_for_other_hosts() throws Exception {
    assertHealthyAfter(peerAddress, FEW_DESCRIPTORS, 800, List.of(Script.silent()));
  }

  @Test
  void heads_that_never_end() throws Exception {
    assertHealthyAfter(
        httpAddress,
        DESCRIPTORS,
        800,
        List.of(HostileScripts.unendedHead(), HostileScripts.endlessHead()));
  }

  @Test
  void trailers_and_chunk_extensions_without_end() throws Exception {
    assertHealthyAfter(
        httpAddress,
        DESCRIPTORS,
        400,
        List.of(HostileScripts.endlessTrailers(), HostileScripts.endlessChunkExtension()));
  }

  @Test
  void bodies_that_stop_short() throws Exception {
    assertHealthyAfter(
        httpAddress,
        DESCRIPTORS,
        800,
        List.of(
            HostileScripts.largeChunks("/v1/completions", MAX_BODY_BYTES),
            HostileScripts.shortOfSmallBody(),
            HostileScripts.tinyChunks()));
  }

  @Test
  void a_mixture_of_all() throws Exception {
    assertHealthyAfter(httpAddress, DESCRIPTORS, 1_500, HostileScripts.mixture());
  }
}
