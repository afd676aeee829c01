package org.curranthaven.internal.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.curranthaven.internal.catalog.EvacuationState;
import org.curranthaven.internal.configuration.FleetCommand;
import org.curranthaven.internal.configuration.FleetState;
import org.curranthaven.internal.dispatch.DispatchFeatures;
import org.curranthaven.internal.dispatch.RetryLimits;
import org.curranthaven.internal.relay.ManualTime;
import org.curranthaven.internal.settings.Json;
import org.curranthaven.internal.transport.wire.AdminReply;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchOrders;
import org.curranthaven.internal.transport.wire.DispatchRequests;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.GatewayStatus;
import org.curranthaven.internal.transport.wire.HostRecord;
import org.curranthaven.internal.transport.wire.Placement;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.curranthaven.internal.transport.wire.SchedulerView;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/**
 * Guards against orders that are acknowledged before they are in force, lost with a leader, or
 * unknown to a gateway whose requests are placed. Has a test for each row of the failure table.
 */
class EvacuationHandlerTest {
  private static final long AFTER_REBUILD_MILLIS = 300;
  private static final long TERM = 5;

  private final ManualTime time = new ManualTime();
  private final List<Map.Entry<String, Envelope>> sent = new ArrayList<>();
  private final List<HostRecord> gateways = new ArrayList<>(List.of(host("g1"), host("g2")));

  /** The replicated state, which survives the loss of a leader. */
  private final FleetState log = new FleetState();

  private final List<String> recordedDataCentres = new ArrayList<>();
  private boolean commits = true;
  private boolean canAccept = true;
  private boolean hasLease = true;
  private long logIndex = 1;
  private long nextRequestId = 1;
  private Scheduler scheduler = newScheduler();
  private EvacuationHandler handler = newHandler();

  private Scheduler newScheduler() {
    return new Scheduler(
        time.loop(),
        time,
        new SplittableRandom(1),
        new RetryLimits(0.2, 10, 10_000),
        6_000,
        () -> hasLease,
        () -> gateways,
        (name, message) -> sent.add(Map.entry(name, message.build())),
        new CommittingSchedulerLog(),
        this::addDataCentre,
        DispatchFeatures.none());
  }

  private EvacuationHandler newHandler() {
    return new EvacuationHandler(scheduler, time, () -> canAccept, this::commit);
  }

  private void addDataCentre(String dataCentre, Consumer<Boolean> callback) {
    recordedDataCentres.add(dataCentre);
    if (commits) {
      log.apply(logIndex++, Json.write(new FleetCommand.AddDataCentre(dataCentre)));
    }
    callback.accept(commits);
  }

  private void commit(ByteString order, Consumer<EvacuationState.@Nullable Result> callback) {
    callback.accept(
        commits ? Json.read(log.apply(logIndex++, order), EvacuationState.Result.class) : null);
  }

  private static HostRecord host(String name) {
    return HostRecord.newBuilder().setName(name).setIncarnation(1).build();
  }

  private static BackendRecord server(String id, String dataCentre, long sequence) {
    return BackendRecord.newBuilder()
        .setId(id)
        .setService("plain")
        .setAddress("10.0.0.1:80")
        .setDataCentre(dataCentre)
        .setSlots(4)
        .setSequence(sequence)
        .build();
  }

  /** Starts the leader with what the log holds, as a control host does. */
  private void startLeading() {
    scheduler.setEvacuation(log.evacuation().snapshot());
    scheduler.setTerm(TERM, List.of());
    gateways.forEach(gateway -> receiveStatus(gateway.getName(), 0, true));
    time.advance(AFTER_REBUILD_MILLIS);
  }

  /** Loses the leader with its soft state; the next one is a host that has led nothing. */
  private void replaceLeader() {
    scheduler.setTerm(0, List.of());
    sent.clear();
    scheduler = newScheduler();
    handler = newHandler();
    startLeading();
  }

  private void receiveStatus(String gateway, long evacuationRevision, boolean full) {
    scheduler.handleStatus(
        host(gateway),
        GatewayStatus.newBuilder()
            .setTerm(TERM)
            .setEvacuationRevision(evacuationRevision)
            .setFull(full)
            .build());
  }

  private void registerServers() {
    scheduler.register(server("e-1", "east", 1), accepted -> {});
    scheduler.register(server("w-1", "west", 1), accepted -> {});
  }

  /** The leader's reply to an order; null until there is one. */
  private static final class ReceivedReply {
    private @Nullable AdminReply reply;

    int status() {
      return reply == null ? 0 : reply.getStatus();
    }

    String text() {
      return reply == null ? "" : reply.getJson().toStringUtf8();
    }

    /** Returns the revision that the order has to name. */
    long revision() {
      ByteString json = reply == null ? ByteString.EMPTY : reply.getJson();
      return Json.read(json, EvacuationRevision.class).revision();
    }
  }

  /** Sends an order as it is; a sender that no longer waits does not follow the reply. */
  private ReceivedReply sendOnce(FleetCommand.EvacuationOrder order) {
    ReceivedReply received = new ReceivedReply();
    handler.handle(Json.write(order), reply -> received.reply = reply.build());
    return received;
  }

  /** Sends an order and, as operators do, follows the reply that names the revision. */
  private ReceivedReply order(FleetCommand.EvacuationOrder order) {
    ReceivedReply received = sendOnce(order);
    return received.status() == LeaderClient.TEMPORARY_REDIRECT
        ? sendOnce(madeFor(order, received.revision()))
        : received;
  }

  private static FleetCommand.EvacuationOrder madeFor(
      FleetCommand.EvacuationOrder order, long revision) {
    return switch (order) {
      case FleetCommand.Evacuate evacuate ->
          new FleetCommand.Evacuate(evacuate.dataCentre(), revision);
      case FleetCommand.EndEvacuation end ->
          new FleetCommand.EndEvacuation(end.dataCentre(), revision);
    };
  }

  private ReceivedReply evacuate(String dataCentre) {
    return order(new FleetCommand.Evacuate(dataCentre));
  }

  private void acknowledge(long revision) {
    gateways.forEach(gateway -> receiveStatus(gateway.getName(), revision, false));
  }

  private List<SchedulerView> viewsTo(String gateway) {
    return sent.stream()
        .filter(message -> message.getKey().equals(gateway))
        .map(Map.Entry::getValue)
        .filter(Envelope::hasSchedulerView)
        .map(Envelope::getSchedulerView)
        .toList();
  }

  private List<String> placeRequests(int count) {
    sent.clear();
    for (int i = 0; i < count; i++) {
      PlacementRequest request =
          PlacementRequest.newBuilder()
              .setId(nextRequestId++)
              .setService("plain")
              .setTargetLeftMillis(500)
              .setDeadlineLeftMillis(3_000)
              .build();
      scheduler.handleRequests(
          host("g1"), DispatchRequests.newBuilder().setTerm(TERM).addAsks(request).build());
    }
    return sent.stream()
        .map(message -> message.getValue().getDispatchOrders())
        .map(DispatchOrders::getPlacementsList)
        .flatMap(List::stream)
        .map(Placement::getBackend)
        .toList();
  }

  @Test
  void an_order_is_acknowledged_once_every_connected_gateway_obeys_it() {
    startLeading();
    registerServers();

    ReceivedReply reply = evacuate("east");
    assertThat(viewsTo("g2").getLast().getEvacuation().getDataCentresList())
        .containsExactly("east");
    receiveStatus("g1", 1, false);
    assertThat(reply.status()).isZero();
    receiveStatus("g2", 1, false);

    assertThat(reply.status()).isEqualTo(LeaderClient.OK);
  }

  @Test
  void a_gateway_that_has_not_acknowledged_an_order_is_sent_it_with_each_heartbeat() {
    startLeading();
    registerServers();
    evacuate("east");
    receiveStatus("g1", 1, false);
    sent.clear();

    time.advance(300);

    assertThat(viewsTo("g1")).isNotEmpty().noneMatch(SchedulerView::hasEvacuation);
    assertThat(viewsTo("g2")).isNotEmpty().allMatch(SchedulerView::hasEvacuation);
  }

  @Test
  void an_order_that_is_sent_again_is_acknowledged_again() {
    startLeading();
    registerServers();
    evacuate("east");
    acknowledge(1);

    ReceivedReply repeated = evacuate("east");
    acknowledge(2);

    assertThat(repeated.status()).isEqualTo(LeaderClient.OK);
  }

  @Test
  void no_request_is_placed_in_an_evacuated_data_centre_until_the_order_is_withdrawn() {
    startLeading();
    registerServers();
    evacuate("east");
    assertThat(placeRequests(4)).hasSize(4).containsOnly("w-1");
    acknowledge(1);

    ReceivedReply end = order(new FleetCommand.EndEvacuation("east"));
    acknowledge(2);

    assertThat(end.status()).isEqualTo(LeaderClient.OK);
    assertThat(placeRequests(4)).contains("e-1");
  }

  @Test
  void an_unknown_data_centre_is_rejected_with_a_message_that_names_the_known_ones() {
    startLeading();
    registerServers();

    ReceivedReply reply = evacuate("esat");

    assertThat(reply.status()).isEqualTo(LeaderClient.UNPROCESSABLE);
    assertThat(reply.text()).contains("esat").contains("east, west");
  }

  @Test
  void a_data_centre_is_recorded_once_and_again_if_it_was_not_committed() {
    startLeading();
    commits = false;
    scheduler.register(server("e-1", "east", 1), accepted -> {});
    commits = true;
    scheduler.register(server("e-1", "east", 2), accepted -> {});
    scheduler.register(server("e-1", "east", 3), accepted -> {});

    assertThat(recordedDataCentres).containsExactly("east", "east");
    assertThat(log.evacuation().snapshot().known()).containsExactly("east");
  }

  // ---- failure table ----------------------------------------------------------------------------

  @Test
  void an_order_that_was_not_committed_is_not_acknowledged_and_not_published() {
    startLeading();
    registerServers();
    commits = false;

    ReceivedReply reply = evacuate("east");

    assertThat(reply.status()).isEqualTo(LeaderClient.NOT_LEADER);
    time.advance(300);
    assertThat(viewsTo("g1")).noneMatch(SchedulerView::hasEvacuation);
  }

  @Test
  void the_next_leader_publishes_an_order_that_no_gateway_knew_and_acknowledges_it_then() {
    startLeading();
    registerServers();
    ReceivedReply lost = evacuate("east");
    replaceLeader();
    assertThat(lost.status()).isEqualTo(LeaderClient.NOT_LEADER);

    ReceivedReply repeated = evacuate("east");
    assertThat(repeated.status()).isZero();
    assertThat(viewsTo("g1")).allMatch(SchedulerView::hasEvacuation);
    acknowledge(2);

    assertThat(repeated.status()).isEqualTo(LeaderClient.OK);
  }

  @Test
  void the_acknowledgement_does_not_wait_for_a_disconnected_gateway() {
    startLeading();
    registerServers();
    ReceivedReply reply = evacuate("east");
    receiveStatus("g1", 1, false);

    gateways.removeLast();
    scheduler.gatewayDisconnected(host("g2"));

    assertThat(reply.status()).isEqualTo(LeaderClient.OK);
  }

  @Test
  void a_gateway_that_connects_later_is_sent_the_order_with_its_first_view() {
    startLeading();
    registerServers();
    evacuate("east");
    acknowledge(1);
    gateways.add(host("g3"));

    scheduler.gatewayConnected(host("g3"));

    assertThat(viewsTo("g3").getFirst().getEvacuation().getDataCentresList())
        .containsExactly("east");
  }

  /** Guards against the acknowledgement of a process that had the gateway's name before. */
  @Test
  void a_gateway_that_restarts_is_sent_the_order_again() {
    startLeading();
    registerServers();
    evacuate("east");
    acknowledge(1);
    sent.clear();
    gateways.set(1, host("g2").toBuilder().setIncarnation(2).build());

    time.advance(300);

    assertThat(viewsTo("g2")).isNotEmpty().allMatch(SchedulerView::hasEvacuation);
  }

  @Test
  void a_leader_that_starts_after_a_loss_of_power_sends_the_order_with_its_first_view() {
    log.apply(logIndex++, Json.write(new FleetCommand.AddDataCentre("east")));
    log.apply(logIndex++, Json.write(new FleetCommand.Evacuate("east")));

    startLeading();
    registerServers();

    assertThat(viewsTo("g1")).isNotEmpty().allMatch(SchedulerView::hasEvacuation);
    assertThat(placeRequests(4)).hasSize(4).containsOnly("w-1");
  }

  @Test
  void no_order_is_accepted_while_too_few_voters_would_survive_the_tolerated_losses() {
    startLeading();
    registerServers();
    canAccept = false;

    assertThat(evacuate("east").status()).isEqualTo(LeaderClient.NOT_LEADER);
    assertThat(log.evacuation().snapshot().evacuated()).isEmpty();
  }

  @Test
  void an_order_is_not_acknowledged_by_a_leader_that_may_have_a_successor() {
    startLeading();
    registerServers();
    ReceivedReply reply = evacuate("east");
    hasLease = false;

    acknowledge(1);

    assertThat(reply.status()).isEqualTo(LeaderClient.NOT_LEADER);
  }

  @Test
  void a_reply_of_the_log_that_arrives_late_does_not_revive_a_withdrawn_order() {
    startLeading();
    registerServers();
    EvacuationState.Snapshot earlier =
        new EvacuationState.Snapshot(1, List.of("east"), List.of("east", "west"), Map.of());
    scheduler.setEvacuation(
        new EvacuationState.Snapshot(2, List.of(), List.of("east", "west"), Map.of()));

    scheduler.setEvacuation(earlier);

    assertThat(placeRequests(4)).contains("e-1");
  }

  // ---- copies of orders that were held up -------------------------------------------------------

  @Test
  void a_withdrawal_that_was_held_up_does_not_end_a_later_evacuation() {
    startLeading();
    registerServers();
    evacuate("east");
    acknowledge(1);
    order(new FleetCommand.EndEvacuation("east"));
    acknowledge(2);
    ReceivedReply later = evacuate("east");
    acknowledge(3);
    assertThat(later.status()).isEqualTo(LeaderClient.OK);

    sendOnce(new FleetCommand.EndEvacuation("east"));

    assertThat(log.evacuation().snapshot().evacuated()).containsExactly("east");
    assertThat(placeRequests(4)).hasSize(4).containsOnly("w-1");
  }

  @Test
  void an_evacuation_that_was_held_up_does_not_follow_its_withdrawal() {
    startLeading();
    registerServers();
    evacuate("east");
    acknowledge(1);
    ReceivedReply later = order(new FleetCommand.EndEvacuation("east"));
    acknowledge(2);
    assertThat(later.status()).isEqualTo(LeaderClient.OK);

    sendOnce(new FleetCommand.Evacuate("east"));

    assertThat(log.evacuation().snapshot().evacuated()).isEmpty();
    assertThat(placeRequests(4)).contains("e-1");
  }

  /** Guards against copies that had been redirected already when they were held up. */
  @Test
  void a_withdrawal_made_before_an_acknowledged_order_that_changed_nothing_is_redirected() {
    startLeading();
    registerServers();
    evacuate("east");
    acknowledge(1);
    ReceivedReply repeated = evacuate("east");
    acknowledge(2);
    assertThat(repeated.status()).isEqualTo(LeaderClient.OK);

    ReceivedReply heldUp = sendOnce(new FleetCommand.EndEvacuation("east", 1L));

    assertThat(heldUp.status()).isEqualTo(LeaderClient.TEMPORARY_REDIRECT);
    assertThat(heldUp.revision()).isEqualTo(2);
    assertThat(log.evacuation().snapshot().evacuated()).containsExactly("east");
  }

  @Test
  void an_order_made_for_an_earlier_revision_is_acknowledged_if_it_is_fulfilled() {
    startLeading();
    registerServers();
    evacuate("east");
    acknowledge(1);

    ReceivedReply repeated = sendOnce(new FleetCommand.Evacuate("east", 0L));
    assertThat(repeated.status()).isZero();
    acknowledge(2);

    assertThat(repeated.status()).isEqualTo(LeaderClient.OK);
  }

  /** Guards against orders that push one another beyond the redirects which a client follows. */
  @Test
  void orders_for_several_data_centres_made_for_one_revision_are_all_accepted() {
    startLeading();
    registerServers();

    ReceivedReply east = sendOnce(new FleetCommand.Evacuate("east", 0L));
    ReceivedReply west = sendOnce(new FleetCommand.Evacuate("west", 0L));
    acknowledge(2);

    assertThat(east.status()).isEqualTo(LeaderClient.OK);
    assertThat(west.status()).isEqualTo(LeaderClient.OK);
  }

  @Test
  void an_unknown_data_centre_is_rejected_before_any_redirect() {
    startLeading();
    registerServers();

    assertThat(sendOnce(new FleetCommand.Evacuate("esat")).status())
        .isEqualTo(LeaderClient.UNPROCESSABLE);
  }
}
