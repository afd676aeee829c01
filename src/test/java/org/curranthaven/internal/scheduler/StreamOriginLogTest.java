package org.curranthaven.internal.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.curranthaven.internal.catalog.ServiceVersion;
import org.curranthaven.internal.configuration.FleetCommand;
import org.curranthaven.internal.configuration.FleetState;
import org.curranthaven.internal.dispatch.StreamOrigins;
import org.curranthaven.internal.settings.Json;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.junit.jupiter.api.Test;

/** Guards against origins of streams that are lost with the hosts that know them. */
class StreamOriginLogTest {
  private static final String SERVICE = "engines";
  private static final long RETENTION_MILLIS = StreamOrigins.RETENTION_MILLIS;

  private final GroupLog groupLog = new GroupLog();
  private StreamOriginLog log = new StreamOriginLog(groupLog);
  private StreamOrigins origins = new StreamOrigins();
  private long nowMillis = 10_000;

  /** Applies commands to a replica, at once or when told. */
  private static final class GroupLog extends CommittingSchedulerLog {
    private final FleetState state = new FleetState();
    private final List<FleetCommand.RecordStreamOrigins> commands = new ArrayList<>();
    private final List<Consumer<Boolean>> uncommitted = new ArrayList<>();
    private boolean commitsAtOnce = true;

    @Override
    public void recordOrigins(
        FleetCommand.RecordStreamOrigins command, Consumer<Boolean> callback) {
      commands.add(command);
      if (commitsAtOnce) {
        state.apply(commands.size(), Json.write(command));
        callback.accept(true);
      } else {
        uncommitted.add(callback);
      }
    }
  }

  private void serve(String... versions) {
    for (String version : versions) {
      origins.recordServing(SERVICE, version, nowMillis);
    }
  }

  private void output(long stream, String version) {
    PlacementRequest request =
        PlacementRequest.newBuilder().setService(SERVICE).setStream(stream).build();
    origins.recordOutput(request, version, nowMillis);
  }

  private void write() {
    log.write(origins.exportServed(nowMillis), Set.of(), nowMillis);
  }

  /** Has another host lead, which knows only what a replica has stored. */
  private void loseAllHosts() {
    ByteString stored = groupLog.state.snapshot();
    FleetState replica = new FleetState();
    replica.restore(stored);
    log = new StreamOriginLog(groupLog);
    origins = new StreamOrigins();
    log.setCommitted(replica.streamOrigins().snapshot());
    log.start(origins, nowMillis);
    serve("v1", "v2");
  }

  private void startLeading() {
    log.start(origins, nowMillis);
  }

  @Test
  void the_origins_of_streams_are_known_after_the_loss_of_all_hosts() {
    startLeading();
    serve("v1", "v2");
    output(1, "v1");
    output(-2, "v2");
    write();

    loseAllHosts();

    assertThat(origins.originOf(1)).isEqualTo(new ServiceVersion(SERVICE, "v1"));
    assertThat(origins.originOf(-2)).isEqualTo(new ServiceVersion(SERVICE, "v2"));
    assertThat(origins.originOf(3)).isNull();
  }

  @Test
  void nothing_is_recorded_while_one_version_serves_and_all_streams_once_there_is_a_second() {
    startLeading();
    serve("v1");
    output(1, "v1");
    write();
    assertThat(groupLog.commands).isEmpty();

    serve("v2");
    write();
    loseAllHosts();

    assertThat(origins.originOf(1)).isEqualTo(new ServiceVersion(SERVICE, "v1"));
  }

  @Test
  void streams_of_services_that_share_a_route_are_recorded_with_one_version_too() {
    startLeading();
    serve("v1");
    output(1, "v1");

    log.write(origins.exportServed(nowMillis), Set.of(SERVICE), nowMillis);

    assertThat(groupLog.commands).hasSize(1);
  }

  @Test
  void an_origin_stays_as_long_as_callers_may_take_the_stream_up_after_its_latest_output() {
    startLeading();
    serve("v1", "v2");
    output(1, "v1");
    write();
    for (int i = 0; i < 5; i++) {
      nowMillis += RETENTION_MILLIS - 1;
      serve("v1", "v2");
      output(1, "v1");
      write();
      nowMillis += 1;
      write();
    }
    nowMillis += RETENTION_MILLIS - 2;
    write();

    loseAllHosts();

    assertThat(origins.originOf(1)).isEqualTo(new ServiceVersion(SERVICE, "v1"));
  }

  /** Guards against a log that grows with every stream that there ever was. */
  @Test
  void an_origin_is_forgotten_when_its_stream_can_no_longer_be_taken_up() {
    startLeading();
    serve("v1", "v2");
    output(1, "v1");
    write();
    for (int i = 0; i < 5; i++) {
      nowMillis += RETENTION_MILLIS;
      write();
    }
    int commands = groupLog.commands.size();
    nowMillis += RETENTION_MILLIS;
    write();

    assertThat(groupLog.state.streamOrigins().snapshot().holdsStreams()).isFalse();
    assertThat(groupLog.commands).hasSize(commands);
  }

  @Test
  void an_origin_that_could_not_be_recorded_is_recorded_again() {
    groupLog.commitsAtOnce = false;
    startLeading();
    serve("v1", "v2");
    output(1, "v1");
    write();
    groupLog.uncommitted.getFirst().accept(false);
    groupLog.commitsAtOnce = true;
    write();

    loseAllHosts();

    assertThat(origins.originOf(1)).isEqualTo(new ServiceVersion(SERVICE, "v1"));
  }

  /** Guards against commands that pile up at a log that takes none. */
  @Test
  void one_command_is_on_its_way_at_a_time() {
    groupLog.commitsAtOnce = false;
    startLeading();
    serve("v1", "v2");
    for (long stream = 1; stream <= 20; stream++) {
      output(stream, "v1");
      write();
    }

    assertThat(groupLog.commands).hasSize(1);
    groupLog.uncommitted.getFirst().accept(true);
    write();
    assertThat(groupLog.commands).hasSize(2);
    assertThat(groupLog.commands.getLast().origins().getFirst().streams()).hasSize(19);
  }

  /** Guards against a leader that writes each stream again at each of its outputs. */
  @Test
  void a_stream_is_recorded_once_in_a_generation() {
    startLeading();
    serve("v1", "v2");
    for (int i = 0; i < 100; i++) {
      nowMillis += 500;
      output(1, "v1");
      write();
    }

    assertThat(groupLog.commands).hasSize(1);
  }

  @Test
  void a_stream_keeps_the_origin_that_was_recorded_first() {
    startLeading();
    serve("v1", "v2");
    output(1, "v1");
    write();
    nowMillis += RETENTION_MILLIS + 1;
    origins = new StreamOrigins();
    log = new StreamOriginLog(groupLog);
    startLeading();
    serve("v1", "v2");
    output(1, "v2");
    write();

    loseAllHosts();

    assertThat(origins.originOf(1)).isEqualTo(new ServiceVersion(SERVICE, "v1"));
  }
}
