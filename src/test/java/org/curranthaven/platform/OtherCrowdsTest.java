package org.curranthaven.platform;

import java.nio.file.Path;
import java.util.List;
import org.curranthaven.platform.CrowdedHosts.Door;
import org.curranthaven.platform.HostileClients.Script;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against clients that end a process, or make it take more than its machine has, at the
 * doors that are not for callers.
 */
@Timeout(180)
class OtherCrowdsTest {
  private static final int DESCRIPTORS = 4_100;
  private static final int FEW_DESCRIPTORS = 512;
  private static final int MORE_THAN_FEW = 800;
  private static final long CROWD_MILLIS = 6_000;

  /** Largest body of a control request. */
  private static final int MAX_CONTROL_BODY_BYTES = 8 * 1024 * 1024;

  @TempDir Path folder;

  private void assertHealthyAfter(Door door, int descriptors, int connections, List<Script> scripts)
      throws Exception {
    try (CrowdedHosts hosts = new CrowdedHosts(folder, descriptors)) {
      hosts.crowd(door, connections, scripts, CROWD_MILLIS);

      hosts.assertHealthyAfter(door);
    }
  }

  @Test
  void silent_connections_at_the_readiness_address() throws Exception {
    assertHealthyAfter(Door.READINESS, FEW_DESCRIPTORS, MORE_THAN_FEW, List.of(Script.silent()));
  }

  @Test
  void heads_and_trailers_at_the_readiness_address() throws Exception {
    assertHealthyAfter(
        Door.READINESS,
        DESCRIPTORS,
        600,
        List.of(
            HostileScripts.endlessTrailers(),
            HostileScripts.unendedTrailers(),
            HostileScripts.unendedHead()));
  }

  @Test
  void tiny_chunks_at_the_readiness_address() throws Exception {
    assertHealthyAfter(Door.READINESS, DESCRIPTORS, 2_000, List.of(HostileScripts.tinyChunks()));
  }

  @Test
  void unread_responses_at_the_readiness_address() throws Exception {
    assertHealthyAfter(
        Door.READINESS,
        DESCRIPTORS,
        100,
        List.of(
            HostileScripts.manyLines("/api/ready"), HostileScripts.unreadResponses("/api/ready")));
  }

  @Test
  void a_mixture_at_the_readiness_address() throws Exception {
    assertHealthyAfter(Door.READINESS, DESCRIPTORS, 1_500, HostileScripts.mixture());
  }

  @Test
  void silent_connections_at_the_control_address() throws Exception {
    assertHealthyAfter(Door.CONTROL, FEW_DESCRIPTORS, MORE_THAN_FEW, List.of(Script.silent()));
  }

  @Test
  void large_bodies_at_the_control_address() throws Exception {
    assertHealthyAfter(
        Door.CONTROL,
        DESCRIPTORS,
        300,
        List.of(HostileScripts.largeChunks("/api/config", MAX_CONTROL_BODY_BYTES)));
  }

  @Test
  void heads_and_tiny_chunks_at_the_control_address() throws Exception {
    assertHealthyAfter(
        Door.CONTROL,
        DESCRIPTORS,
        1_500,
        List.of(
            HostileScripts.unendedHead(),
            HostileScripts.tinyChunks(),
            HostileScripts.endlessTrailers(),
            HostileScripts.unendedTrailers()));
  }

  @Test
  void unread_responses_at_the_control_address() throws Exception {
    assertHealthyAfter(
        Door.CONTROL,
        DESCRIPTORS,
        200,
        List.of(
            HostileScripts.unreadResponses("/api/config"),
            HostileScripts.manyLines("/api/config")));
  }

  @Test
  void a_mixture_at_the_control_address() throws Exception {
    assertHealthyAfter(Door.CONTROL, DESCRIPTORS, 1_500, HostileScripts.mixture());
  }

  @Test
  void silent_connections_at_the_address_for_other_hosts() throws Exception {
    assertHealthyAfter(
        Door.CONTROL_PEERS, FEW_DESCRIPTORS, MORE_THAN_FEW, List.of(Script.silent()));
  }

  @Test
  void silent_connections_at_the_address_of_a_gateway_for_other_hosts() throws Exception {
    assertHealthyAfter(
        Door.GATEWAY_PEERS, FEW_DESCRIPTORS, MORE_THAN_FEW, List.of(Script.silent()));
  }

  @Test
  void announced_messages_at_the_address_for_other_hosts() throws Exception {
    // The length of 16 MB as a variable-length integer, and bytes that never reach it.
    Script announced = Script.of("\u0080\u0080\u0080\u0008", "x", 16 * 1024 * 1024);
    assertHealthyAfter(Door.CONTROL_PEERS, DESCRIPTORS, 200, List.of(announced));
  }

  @Test
  void announced_messages_at_the_address_of_a_gateway_for_other_hosts() throws Exception {
    Script announced = Script.of("\u0080\u0080\u0080\u0008", "x", 16 * 1024 * 1024);
    assertHealthyAfter(Door.GATEWAY_PEERS, DESCRIPTORS, 200, List.of(announced));
  }

  @Test
  void silent_connections_at_the_metrics_address() throws Exception {
    assertHealthyAfter(
        Door.GATEWAY_METRICS, FEW_DESCRIPTORS, MORE_THAN_FEW, List.of(Script.silent()));
  }

  @Test
  void heads_at_the_metrics_address() throws Exception {
    assertHealthyAfter(
        Door.GATEWAY_METRICS,
        DESCRIPTORS,
        400,
        List.of(HostileScripts.unendedHead(), HostileScripts.endlessHead()));
  }

  @Test
  void a_mixture_at_the_metrics_address() throws Exception {
    assertHealthyAfter(Door.GATEWAY_METRICS, DESCRIPTORS, 600, HostileScripts.mixture());
  }
}
