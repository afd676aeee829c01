package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against changes that are refused for good after a disk was full for some seconds. */
@Timeout(120)
class FullDiskTest {
  /** The host that creates the consensus groups: the one with the lowest address. */
  private static final int FIRST_HOST = 1;

  /** Room for the identity of a data folder, and for no record of a log. */
  private static final long IDENTITY_BYTES = 64;

  private static final long FULL_MILLIS = 4_000;

  @TempDir private Path folder;

  private FleetProcesses fleet;

  @BeforeEach
  void startFleet() throws Exception {
    fleet = new FleetProcesses(folder);
  }

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  private void putCatalog(int version) throws Exception {
    fleet.control("PUT", "/api/config", RoutedFleetFixture.CATALOG.formatted(version));
  }

  @Test
  void changes_are_accepted_after_the_disk_was_full_when_the_groups_were_to_be_created()
      throws Exception {
    fleet.fillDisk(FIRST_HOST, IDENTITY_BYTES);
    Thread.sleep(FULL_MILLIS);
    assertThat(Files.size(fleet.dataFolder(FIRST_HOST).resolve("identity"))).isPositive();

    fleet.clearDisk(FIRST_HOST);

    putCatalog(1);
    fleet.awaitGateways();
  }

  @Test
  void changes_are_accepted_after_the_disk_was_full_at_the_first_start() throws Exception {
    fleet.fillDisk(FIRST_HOST, 0);
    Thread.sleep(FULL_MILLIS);
    assertThat(fleet.dataFolder(FIRST_HOST).resolve("identity")).doesNotExist();
    assertThat(fleet.isControlRunning(FIRST_HOST)).isTrue();

    fleet.clearDisk(FIRST_HOST);

    putCatalog(1);
    fleet.awaitGateways();
  }

  @Test
  void changes_are_accepted_after_the_disks_were_full_in_turn() throws Exception {
    putCatalog(1);
    int version = 2;
    for (int host = 1; host <= FleetProcesses.HOSTS_OF_A_ROLE; host++) {
      fleet.fillDisk(host, 0);
      for (long waitedMillis = 0; waitedMillis < FULL_MILLIS; waitedMillis += 500) {
        putCatalog(version++);
        Thread.sleep(500);
      }
      fleet.clearDisk(host);
      Thread.sleep(1_000);
    }

    putCatalog(version);
    fleet.awaitGateways();
  }
}
