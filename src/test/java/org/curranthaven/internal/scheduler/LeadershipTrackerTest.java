package org.curranthaven.internal.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.curranthaven.api.Outcome;
import org.curranthaven.internal.catalog.EvacuationState;
import org.curranthaven.internal.catalog.ServiceVersion;
import org.curranthaven.internal.configuration.FleetCommand;
import org.curranthaven.internal.configuration.FleetState;
import org.curranthaven.internal.consensus.ConsensusLoop;
import org.curranthaven.internal.consensus.DataFolder;
import org.curranthaven.internal.settings.Json;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.wire.HostRecord;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs a control host's log with many catalogs, and runs it again. Guards against a restart in
 * which each old catalog is decoded, so that the voters are too late for each other's heartbeats
 * and elect one leader after the other.
 */
class LeadershipTrackerTest {
  private static final int CATALOGS = 60;
  private static final long TIMEOUT_SECONDS = 20;
  private static final String ADDRESS = "127.0.0.1:1";

  @TempDir private Path folder;

  /** A control host's log, and the revisions of the catalogs that were passed on. */
  private static final class Host implements LeadershipTracker.Listener, AutoCloseable {
    private final List<Long> revisions = new CopyOnWriteArrayList<>();
    private final CountDownLatch leading = new CountDownLatch(1);
    private final CountDownLatch complete = new CountDownLatch(1);
    private volatile List<ServiceVersion> versions = List.of();
    private volatile EvacuationState.Snapshot evacuation = EvacuationState.Snapshot.EMPTY;
    private final ConsensusLoop loop;
    private final Thread thread;

    Host(DataFolder data) {
      HostRecord self =
          HostRecord.newBuilder()
              .setName("control-1")
              .setPeerAddress(ADDRESS)
              .setControl(true)
              .setIdentity(data.identity())
              .build();
      loop =
          new ConsensusLoop(
              new ConsensusLoop.Dependencies(
                  data,
                  1,
                  Set.of(ADDRESS),
                  1,
                  groupId -> new FleetState(),
                  () -> self,
                  List::of,
                  (identity, batch) -> {},
                  Clock.system(),
                  new SplittableRandom(1)));
      loop.addObserver(new LeadershipTracker(loop, 1, this));
      thread = Thread.ofPlatform().daemon(true).start(this::run);
    }

    private void run() {
      try {
        loop.run();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } catch (java.io.IOException e) {
        throw new java.io.UncheckedIOException(e);
      }
    }

    @Override
    public void leadershipChanged(long term, @Nullable FleetState state) {
      if (state != null) {
        versions = state.servedVersions().all();
        evacuation = state.evacuation().snapshot();
        leading.countDown();
      }
    }

    @Override
    public void catalogApplied(long revision, ByteString document) {
      revisions.add(revision);
      if (revision == CATALOGS) {
        complete.countDown();
      }
    }

    @Override
    public void close() throws InterruptedException {
      thread.interrupt();
      thread.join();
    }
  }

  @Test
  void a_restarted_host_passes_on_the_latest_of_its_catalogs_only() throws InterruptedException {
    // Both hold the folder's lock, as one process after the other does.
    DataFolder data = ((Outcome.Success<DataFolder>) DataFolder.open(folder)).value();
    try (Host host = new Host(data)) {
      assertThat(host.leading.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
      for (long revision = 1; revision <= CATALOGS; revision++) {
        byte[] document = ("document " + revision).getBytes(StandardCharsets.UTF_8);
        host.loop.propose(
            0, Json.write(new FleetCommand.ReplaceCatalog(revision, document)), reply -> {});
      }
      assertThat(host.complete.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }
    try (Host restarted = new Host(data)) {
      assertThat(restarted.complete.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();

      assertThat(restarted.revisions).hasSizeLessThan(CATALOGS / 10).endsWith((long) CATALOGS);
    }
  }

  /**
   * Guards against a leader that does not know at which versions streams began before its restart.
   */
  @Test
  void a_restarted_host_knows_the_versions_that_served_as_soon_as_it_leads()
      throws InterruptedException {
    DataFolder data = ((Outcome.Success<DataFolder>) DataFolder.open(folder)).value();
    ServiceVersion version = new ServiceVersion("engines", "v2");
    try (Host host = new Host(data)) {
      assertThat(host.leading.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
      CountDownLatch committed = new CountDownLatch(1);
      host.loop.propose(
          0,
          Json.write(new FleetCommand.AddServedVersion(version)),
          reply -> committed.countDown());
      assertThat(committed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }
    try (Host restarted = new Host(data)) {
      assertThat(restarted.leading.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();

      assertThat(restarted.versions).containsExactly(version);
    }
  }

  /** Guards against an order that is forgotten when all control hosts lose power. */
  @Test
  void a_restarted_host_knows_the_evacuated_data_centres_as_soon_as_it_leads()
      throws InterruptedException {
    DataFolder data = ((Outcome.Success<DataFolder>) DataFolder.open(folder)).value();
    try (Host host = new Host(data)) {
      assertThat(host.leading.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
      CountDownLatch committed = new CountDownLatch(2);
      host.loop.propose(
          0, Json.write(new FleetCommand.AddDataCentre("east")), reply -> committed.countDown());
      host.loop.propose(
          0, Json.write(new FleetCommand.Evacuate("east")), reply -> committed.countDown());
      assertThat(committed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }
    try (Host restarted = new Host(data)) {
      assertThat(restarted.leading.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();

      assertThat(restarted.evacuation)
          .isEqualTo(
              new EvacuationState.Snapshot(
                  1, List.of("east"), List.of("east"), Map.of("east", 1L)));
    }
  }
}
