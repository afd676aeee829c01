package org.curranthaven.internal.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.curranthaven.api.Outcome;
import org.curranthaven.internal.configuration.FleetState;
import org.curranthaven.internal.consensus.ConsensusLoop;
import org.curranthaven.internal.consensus.DataFolder;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.wire.ConsensusBatch;
import org.curranthaven.internal.transport.wire.HostRecord;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs two control hosts, one of which transfers its leadership to the other. */
@Timeout(60)
class LeadershipTransferTest {
  private static final long TIMEOUT_SECONDS = 20;
  private static final Set<String> ADDRESSES = Set.of("127.0.0.1:1", "127.0.0.1:2");

  @TempDir private Path folders;

  private final Map<String, Host> hosts = new HashMap<>();
  private final List<HostRecord> records = new ArrayList<>();

  /** A control host, and whether it believed in its lease when it asked another to lead. */
  private final class Host implements LeadershipTracker.Listener {
    private final CountDownLatch leading = new CountDownLatch(1);
    private final CountDownLatch askedToLead = new CountDownLatch(1);
    private final List<Boolean> leasesWhenAsking = new CopyOnWriteArrayList<>();
    private final ConsensusLoop loop;
    private final LeadershipTracker tracker;
    private final String identity;
    private @Nullable Thread thread;

    Host(DataFolder data, HostRecord self, long seed) {
      identity = data.identity();
      loop =
          new ConsensusLoop(
              new ConsensusLoop.Dependencies(
                  data,
                  1,
                  ADDRESSES,
                  ADDRESSES.size(),
                  groupId -> new FleetState(),
                  () -> self,
                  () -> records,
                  this::send,
                  Clock.system(),
                  new SplittableRandom(seed)));
      tracker = new LeadershipTracker(loop, 1, this);
      loop.addObserver(tracker);
    }

    private void send(String to, ConsensusBatch batch) {
      if (batch.getMessagesList().stream().anyMatch(message -> message.hasTimeoutNow())) {
        leasesWhenAsking.add(tracker.hasLease(Clock.system().nowMillis()));
        askedToLead.countDown();
      }
      Host receiver = hosts.get(to);
      if (receiver != null) {
        receiver.loop.receive(identity, batch);
      }
    }

    void start() {
      thread = Thread.ofPlatform().daemon(true).start(this::run);
    }

    private void run() {
      try {
        loop.run();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    @Override
    public void leadershipChanged(long term, @Nullable FleetState state) {
      if (state != null) {
        leading.countDown();
      }
    }

    @Override
    public void catalogApplied(long revision, ByteString document) {}
  }

  @AfterEach
  void stopHosts() throws InterruptedException {
    for (Host host : hosts.values()) {
      Thread thread = host.thread;
      if (thread != null) {
        thread.interrupt();
        thread.join(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
      }
    }
  }

  /** Guards against a former leader that decides beside the next one. */
  @Test
  void a_leader_gives_up_its_lease_before_it_asks_another_host_to_lead()
      throws InterruptedException {
    startHosts();
    Host leader = awaitLeader();

    transferFrom(leader);

    assertThat(leader.leasesWhenAsking).isNotEmpty().containsOnly(false);
  }

  /** Asks for the transfer until there is a second voter that can lead. */
  private static void transferFrom(Host leader) throws InterruptedException {
    long endMillis = Clock.system().nowMillis() + TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS);
    do {
      leader.loop.transferLeadership();
    } while (!leader.askedToLead.await(100, TimeUnit.MILLISECONDS)
        && Clock.system().nowMillis() < endMillis);
  }

  private void startHosts() {
    int number = 0;
    for (String address : ADDRESSES) {
      number++;
      String name = "control-" + number;
      DataFolder data =
          ((Outcome.Success<DataFolder>) DataFolder.open(folders.resolve(name))).value();
      HostRecord self =
          HostRecord.newBuilder()
              .setName(name)
              .setPeerAddress(address)
              .setControl(true)
              .setIdentity(data.identity())
              .build();
      records.add(self);
      hosts.put(data.identity(), new Host(data, self, number));
    }
    hosts.values().forEach(Host::start);
  }

  private Host awaitLeader() throws InterruptedException {
    long endMillis = Clock.system().nowMillis() + TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS);
    while (Clock.system().nowMillis() < endMillis) {
      for (Host host : hosts.values()) {
        if (host.leading.await(20, TimeUnit.MILLISECONDS)) {
          return host;
        }
      }
    }
    throw new AssertionError("no host led within " + TIMEOUT_SECONDS + " s");
  }
}
