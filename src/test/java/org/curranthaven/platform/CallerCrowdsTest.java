package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.curranthaven.platform.HostileScripts.MAX_BODY_BYTES;
import static org.curranthaven.platform.HostileScripts.MAX_HEADER_BYTES;

import java.nio.file.Path;
import java.util.List;
import org.curranthaven.platform.CrowdedHosts.Door;
import org.curranthaven.platform.HostileClients.Script;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against callers that end the gateway, or make it take more than its machine has, by what
 * they send or leave unread.
 */
@Timeout(180)
class CallerCrowdsTest {
  private static final int DESCRIPTORS = 4_100;
  private static final int FEW_DESCRIPTORS = 512;
  private static final long CROWD_MILLIS = 6_000;

  @TempDir Path folder;

  private void assertHealthyAfter(int descriptors, int connections, List<Script> scripts)
      throws Exception {
    try (CrowdedHosts hosts = new CrowdedHosts(folder, descriptors)) {
      hosts.crowd(Door.CALLERS, connections, scripts, CROWD_MILLIS);

      hosts.assertHealthyAfter(Door.CALLERS);
    }
  }

  @Test
  void legal_heads_of_many_lines_one_behind_the_other() throws Exception {
    assertHealthyAfter(DESCRIPTORS, 40, List.of(HostileScripts.manyLines("/slow/m")));
  }

  @Test
  void legal_heads_of_odd_lines_one_behind_the_other() throws Exception {
    assertHealthyAfter(DESCRIPTORS, 400, HostileScripts.oddLines());
  }

  @Test
  void heads_that_grow_and_never_end() throws Exception {
    assertHealthyAfter(DESCRIPTORS, 600, List.of(HostileScripts.unendedHead()));
  }

  @Test
  void heads_over_the_limit_that_go_on() throws Exception {
    assertHealthyAfter(DESCRIPTORS, 300, List.of(HostileScripts.endlessHead()));
  }

  @Test
  void request_lines_without_end() throws Exception {
    assertHealthyAfter(DESCRIPTORS, 300, List.of(HostileScripts.endlessRequestLine()));
  }

  @Test
  void empty_lines_without_end() throws Exception {
    assertHealthyAfter(DESCRIPTORS, 300, List.of(HostileScripts.emptyLines()));
  }

  @Test
  void trailers_without_end() throws Exception {
    assertHealthyAfter(
        DESCRIPTORS,
        600,
        List.of(HostileScripts.endlessTrailers(), HostileScripts.unendedTrailers()));
  }

  @Test
  void chunk_extensions_without_end() throws Exception {
    assertHealthyAfter(DESCRIPTORS, 300, List.of(HostileScripts.endlessChunkExtension()));
  }

  @Test
  void small_bodies_that_stop_short() throws Exception {
    assertHealthyAfter(DESCRIPTORS, 2_000, List.of(HostileScripts.shortOfSmallBody()));
  }

  @Test
  void large_bodies_that_stop_short() throws Exception {
    assertHealthyAfter(
        DESCRIPTORS,
        200,
        List.of(
            HostileScripts.shortOfLargeBody(),
            HostileScripts.largeChunks("/slow/k", MAX_BODY_BYTES)));
  }

  @Test
  void tiny_chunks_that_stop_short() throws Exception {
    assertHealthyAfter(DESCRIPTORS, 2_000, List.of(HostileScripts.tinyChunks()));
  }

  @Test
  void responses_that_are_not_read() throws Exception {
    assertHealthyAfter(
        DESCRIPTORS,
        100,
        List.of(
            HostileScripts.unreadResponses("/large/n"),
            HostileScripts.unreadResponses("/nowhere/n")));
  }

  @Test
  void requests_that_wait_for_a_backend_server() throws Exception {
    assertHealthyAfter(DESCRIPTORS, 1_500, List.of(HostileScripts.slowRequest()));
  }

  @Test
  void more_silent_connections_than_descriptors() throws Exception {
    assertHealthyAfter(FEW_DESCRIPTORS, 800, List.of(Script.silent()));
  }

  @Test
  void more_requests_in_progress_than_descriptors() throws Exception {
    assertHealthyAfter(FEW_DESCRIPTORS, 800, List.of(HostileScripts.slowRequest()));
  }

  @Test
  void a_mixture_of_all() throws Exception {
    assertHealthyAfter(DESCRIPTORS, 2_600, HostileScripts.mixture());
  }

  @Test
  void a_request_with_a_head_at_its_limit_in_the_shortest_lines_is_served_in_calm()
      throws Exception {
    try (CrowdedHosts hosts = new CrowdedHosts(folder, DESCRIPTORS)) {
      for (String line : List.of("a: b\r\n", "a:b\r\n", "a:\r\n")) {
        String request =
            HostileScripts.lastRequestOfManyLines("/quick/h", line, MAX_HEADER_BYTES - 4);

        assertThat(CrowdedHosts.statusOf(hosts.exchange(Door.CALLERS, request))).isEqualTo(200);
      }
    }
  }

  @Test
  void a_body_at_its_limit_in_any_chunks_is_served_in_calm() throws Exception {
    try (CrowdedHosts hosts = new CrowdedHosts(folder, DESCRIPTORS)) {
      for (int chunkBytes : List.of(1, 64, 65_536, MAX_BODY_BYTES)) {
        String request = HostileScripts.requestOfChunks(chunkBytes, MAX_BODY_BYTES);

        assertThat(CrowdedHosts.statusOf(hosts.exchange(Door.CALLERS, request)))
            .as("chunks of %d bytes", chunkBytes)
            .isEqualTo(200);
      }
    }
  }
}
