package org.curranthaven.internal.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.curranthaven.internal.catalog.CrashSuspectState;
import org.curranthaven.internal.configuration.FleetCommand;
import org.curranthaven.internal.configuration.FleetState;
import org.curranthaven.internal.dispatch.CrashEvidence;
import org.curranthaven.internal.settings.Json;
import org.curranthaven.internal.transport.wire.BackendCrash;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.curranthaven.internal.transport.wire.SuspectRecord;
import org.junit.jupiter.api.Test;

/** Guards against a request that crashes more servers after the loss of all hosts. */
class CrashSuspectLogTest {
  private static final long FINGERPRINT = 7;
  private static final long BLOCK_MILLIS = 600_000;
  private static final long EPOCH_MILLIS = 1_800_000_000_000L;

  private final GroupLog groupLog = new GroupLog();
  private CrashSuspectLog log = new CrashSuspectLog(groupLog);
  private CrashEvidence evidence = new CrashEvidence();
  private long nowMillis = 10_000;
  private long epochMillis = EPOCH_MILLIS;

  /** Applies records to a replica, at once or when told. */
  private static final class GroupLog extends CommittingSchedulerLog {
    private final FleetState state = new FleetState();
    private final List<Consumer<Boolean>> uncommitted = new ArrayList<>();
    private boolean commitsAtOnce = true;
    private int records;

    @Override
    public void recordCrashSuspects(
        CrashSuspectState.Snapshot suspects, Consumer<Boolean> callback) {
      records++;
      if (commitsAtOnce) {
        state.apply(records, Json.write(new FleetCommand.RecordCrashSuspects(suspects)));
        callback.accept(true);
      } else {
        uncommitted.add(callback);
      }
    }
  }

  private static PlacementRequest request() {
    return PlacementRequest.newBuilder().setService("s").setFingerprint(FINGERPRINT).build();
  }

  private static SuspectRecord suspect(long blockedLeftMillis) {
    return SuspectRecord.newBuilder()
        .setService("s")
        .setFingerprint(FINGERPRINT)
        .setBlocks(blockedLeftMillis > 0 ? 1 : 0)
        .setBlockedLeftMillis(blockedLeftMillis)
        .addCrashes(BackendCrash.newBuilder().setBackend("i-1"))
        .build();
  }

  private void passTime(long millis) {
    nowMillis += millis;
    epochMillis += millis;
  }

  private void write() {
    log.write(nowMillis, epochMillis);
  }

  /** Has another host lead, with a clock of its own, which knows only what a replica stored. */
  private void loseAllHosts() {
    FleetState replica = new FleetState();
    replica.restore(groupLog.state.snapshot());
    log = new CrashSuspectLog(groupLog);
    evidence = new CrashEvidence();
    nowMillis = 500;
    log.setCommitted(replica.crashSuspects().snapshot());
    log.start(evidence, nowMillis, epochMillis);
  }

  private void startLeading() {
    log.start(evidence, nowMillis, epochMillis);
  }

  @Test
  void a_blocked_request_is_blocked_for_the_rest_of_its_time_after_the_loss_of_all_hosts() {
    startLeading();
    evidence.merge(List.of(suspect(BLOCK_MILLIS)), nowMillis);
    write();
    passTime(10_000);

    loseAllHosts();

    assertThat(evidence.blockedMillis(request(), nowMillis)).isEqualTo(BLOCK_MILLIS - 10_000);
  }

  @Test
  void a_crash_counts_after_the_loss_of_all_hosts_and_not_for_ever() {
    startLeading();
    evidence.merge(List.of(suspect(0)), nowMillis);
    write();

    loseAllHosts();
    assertThat(evidence.export(nowMillis)).hasSize(1);

    passTime(BLOCK_MILLIS + 1);
    loseAllHosts();
    assertThat(evidence.export(nowMillis)).isEmpty();
  }

  /** Guards against a host whose clock is behind that of the one that recorded the suspects. */
  @Test
  void a_clock_that_is_behind_does_not_shorten_a_block() {
    startLeading();
    evidence.merge(List.of(suspect(BLOCK_MILLIS)), nowMillis);
    write();
    epochMillis -= 86_400_000;

    loseAllHosts();

    assertThat(evidence.blockedMillis(request(), nowMillis)).isEqualTo(BLOCK_MILLIS);
  }

  @Test
  void nothing_is_recorded_without_a_change() {
    startLeading();
    write();
    assertThat(groupLog.records).isZero();

    evidence.merge(List.of(suspect(0)), nowMillis);
    for (int i = 0; i < 10; i++) {
      write();
      passTime(CrashSuspectLog.INTERVAL_MILLIS);
    }

    assertThat(groupLog.records).isEqualTo(1);
  }

  @Test
  void a_record_that_failed_is_repeated_and_one_is_on_its_way_at_a_time() {
    groupLog.commitsAtOnce = false;
    startLeading();
    evidence.merge(List.of(suspect(BLOCK_MILLIS)), nowMillis);
    write();
    passTime(CrashSuspectLog.INTERVAL_MILLIS);
    write();
    assertThat(groupLog.uncommitted).hasSize(1);

    groupLog.uncommitted.getFirst().accept(false);
    groupLog.commitsAtOnce = true;
    write();
    loseAllHosts();

    assertThat(evidence.blockedMillis(request(), nowMillis)).isPositive();
  }
}
