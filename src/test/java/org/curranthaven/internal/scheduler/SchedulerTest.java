package org.curranthaven.internal.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.RequestLimits;
import org.curranthaven.internal.dispatch.RetryLimits;
import org.curranthaven.internal.relay.GivenTime;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchRequests;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.GatewayStatus;
import org.curranthaven.internal.transport.wire.HostRecord;
import org.curranthaven.internal.transport.wire.OpenDispatch;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.junit.jupiter.api.Test;

class SchedulerTest {
  private static final long REBUILT_MILLIS = 300;

  private final GivenTime time = new GivenTime();
  private final List<Map.Entry<String, Envelope>> sent = new ArrayList<>();
  private final List<HostRecord> gateways = new ArrayList<>(List.of(host("g1"), host("g2")));
  private final Scheduler scheduler =
      new Scheduler(
          time.loop(),
          time,
          new SplittableRandom(1),
          new RetryLimits(0.2, 10, 10_000),
          6_000,
          () -> gateways,
          (host, message) -> sent.add(Map.entry(host, message.build())));

  private static HostRecord host(String name) {
    return HostRecord.newBuilder().setName(name).setIncarnation(1).build();
  }

  private static BackendRecord backend(long sequence, boolean leaving) {
    return BackendRecord.newBuilder()
        .setId("i-1")
        .setService("plain")
        .setAddress("10.0.0.1:80")
        .setSlots(2)
        .setSequence(sequence)
        .setLeaving(leaving)
        .build();
  }

  private void status(String gateway, long version, long revision, boolean full) {
    scheduler.handleStatus(
        host(gateway),
        GatewayStatus.newBuilder()
            .setTerm(5)
            .setVersion(version)
            .setCatalogRevision(revision)
            .setFull(full)
            .build());
  }

  private void lead() {
    scheduler.setTerm(5);
    status("g1", 0, 0, true);
    status("g2", 0, 0, true);
    time.pass(REBUILT_MILLIS);
  }

  private long lastVersion() {
    return sent.stream()
        .filter(message -> message.getValue().hasSchedulerView())
        .mapToLong(message -> message.getValue().getSchedulerView().getVersion())
        .max()
        .orElse(0);
  }

  private static final class Answer {
    private @org.jspecify.annotations.Nullable Boolean value;

    void accept(boolean accepted) {
      value = accepted;
    }
  }

  @Test
  void a_leave_is_acknowledged_only_once_every_gateway_has_it() {
    lead();
    scheduler.register(backend(1, false), new Answer()::accept);
    Answer answer = new Answer();

    scheduler.register(backend(2, true), answer::accept);
    status("g1", lastVersion(), 0, false);
    assertThat(answer.value).isNull();
    status("g2", lastVersion(), 0, false);

    assertThat(answer.value).isTrue();
  }

  @Test
  void a_gateway_whose_connection_is_gone_is_not_waited_for() {
    lead();
    scheduler.register(backend(1, false), new Answer()::accept);
    Answer answer = new Answer();
    scheduler.withdraw("i-1", answer::accept);
    status("g1", lastVersion(), 0, false);
    assertThat(answer.value).isNull();

    gateways.removeLast();
    scheduler.gatewayDisconnected(host("g2"));

    assertThat(answer.value).isTrue();
  }

  @Test
  void a_catalog_is_accepted_once_it_is_in_force_at_every_gateway() {
    lead();
    Catalog catalog = new Catalog(8, List.of(), List.of(), RequestLimits.standard(), null);
    scheduler.applyCatalog(catalog, ByteString.copyFromUtf8("document"));
    Answer answer = new Answer();

    scheduler.notifyWhenCatalogActive(8, answer::accept);
    status("g1", 0, 8, false);
    assertThat(answer.value).isNull();
    status("g2", 0, 8, false);

    assertThat(answer.value).isTrue();
  }

  @Test
  void a_gateway_that_connects_is_told_at_once_who_schedules() {
    lead();
    gateways.add(host("g3"));

    scheduler.gatewayConnected(host("g3"));

    assertThat(sent.getLast().getKey()).isEqualTo("g3");
    assertThat(sent.getLast().getValue().getSchedulerView().getTerm()).isEqualTo(5);
  }

  @Test
  void a_gateway_is_told_that_its_call_waits() {
    lead();
    scheduler.register(backend(1, false), new Answer()::accept);
    for (long id = 1; id <= 4; id++) {
      PlacementRequest ask =
          PlacementRequest.newBuilder()
              .setId(id)
              .setService("plain")
              .setTargetLeftMillis(500)
              .setDeadlineLeftMillis(3_000)
              .build();
      scheduler.handleRequests(
          host("g1"), DispatchRequests.newBuilder().setTerm(5).addAsks(ask).build());
    }

    assertThat(sent.getLast().getValue().getDispatchOrders().getWaitingList()).containsExactly(4L);
  }

  @Test
  void a_new_scheduler_goes_on_as_soon_as_every_gateway_has_told_its_state() {
    scheduler.setTerm(5);
    status("g1", 0, 0, true);
    Answer answer = new Answer();
    scheduler.register(backend(1, false), answer::accept);
    time.pass(Scheduler.MIN_REBUILD_MILLIS + 20);
    assertThat(answer.value).isNull();

    status("g2", 0, 0, true);

    assertThat(answer.value).isTrue();
  }

  @Test
  void a_new_scheduler_places_nothing_before_it_knows_what_runs() {
    scheduler.setTerm(5);
    scheduler.handleStatus(
        host("g1"),
        GatewayStatus.newBuilder()
            .setTerm(5)
            .setFull(true)
            .addBackends(backend(1, false))
            .addOpen(open(1))
            .addOpen(open(2))
            .addOpen(open(3))
            .build());
    DispatchRequests ask = DispatchRequests.newBuilder().setTerm(5).addAsks(call(9)).build();

    scheduler.handleRequests(host("g2"), ask);
    assertThat(sent).noneMatch(message -> message.getValue().hasDispatchOrders());
    time.pass(REBUILT_MILLIS);

    // Two slots carry three calls at most: the ninth waits.
    assertThat(sent)
        .noneMatch(
            message ->
                message.getValue().hasDispatchOrders()
                    && message.getValue().getDispatchOrders().getPlacementsCount() > 0);
  }

  private static PlacementRequest call(long id) {
    return PlacementRequest.newBuilder()
        .setId(id)
        .setService("plain")
        .setTargetLeftMillis(5_000)
        .setDeadlineLeftMillis(9_000)
        .build();
  }

  private static OpenDispatch open(long id) {
    return OpenDispatch.newBuilder().setAsk(call(id)).setBackend("i-1").build();
  }

  @Test
  void when_it_ceases_to_lead_nothing_that_waits_is_acknowledged() {
    lead();
    scheduler.register(backend(1, false), new Answer()::accept);
    Answer answer = new Answer();
    scheduler.register(backend(2, true), answer::accept);

    scheduler.setTerm(0);

    assertThat(answer.value).isFalse();
    assertThat(sent.getLast().getValue().getSchedulerView().getResigned()).isTrue();
  }
}
