package org.curranthaven.internal.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.ColdStart;
import org.curranthaven.internal.catalog.Repeatability;
import org.curranthaven.internal.catalog.RequestLimits;
import org.curranthaven.internal.catalog.Route;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.curranthaven.internal.catalog.ServiceVersion;
import org.curranthaven.internal.catalog.ServiceWeight;
import org.curranthaven.internal.catalog.StreamOriginState;
import org.curranthaven.internal.configuration.FleetCommand;
import org.curranthaven.internal.dispatch.DispatchFeatures;
import org.curranthaven.internal.dispatch.RetryLimits;
import org.curranthaven.internal.relay.ManualTime;
import org.curranthaven.internal.transport.wire.BackendCrash;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.BackendStatement;
import org.curranthaven.internal.transport.wire.DispatchEnd;
import org.curranthaven.internal.transport.wire.DispatchOrders;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.DispatchProgress;
import org.curranthaven.internal.transport.wire.DispatchRequests;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.GatewayStatus;
import org.curranthaven.internal.transport.wire.HostRecord;
import org.curranthaven.internal.transport.wire.LearntCapacity;
import org.curranthaven.internal.transport.wire.Placement;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.curranthaven.internal.transport.wire.PromptPart;
import org.curranthaven.internal.transport.wire.RateLimitRecord;
import org.curranthaven.internal.transport.wire.Rejection;
import org.curranthaven.internal.transport.wire.RunningDispatch;
import org.curranthaven.internal.transport.wire.SchedulerView;
import org.curranthaven.internal.transport.wire.SuspectRecord;
import org.junit.jupiter.api.Test;

class SchedulerTest {
  /** Longer than a new leader waits for the gateways to report their state. */
  private static final long AFTER_REBUILD_MILLIS = 300;

  private static final long ONE_HEARTBEAT_MILLIS = 130;

  private final ManualTime time = new ManualTime();
  private final List<Map.Entry<String, Envelope>> sent = new ArrayList<>();
  private final List<HostRecord> gateways = new ArrayList<>(List.of(host("g1"), host("g2")));
  private final RecordedSchedulerLog versionLog = new RecordedSchedulerLog();
  private boolean hasLease = true;
  private int sendFailures;
  private final Scheduler scheduler =
      new Scheduler(
          time.loop(),
          time,
          new SplittableRandom(1),
          new RetryLimits(0.2, 10, 10_000),
          6_000,
          () -> hasLease,
          this::connectedGateways,
          this::send,
          versionLog,
          (dataCentre, callback) -> callback.accept(true),
          DispatchFeatures.none());

  private int gatewayReads;

  /** Log that commits versions at once, or when told. */
  private static final class RecordedSchedulerLog extends CommittingSchedulerLog {
    private final List<ServiceVersion> added = new ArrayList<>();
    private final List<ServiceVersion> removed = new ArrayList<>();
    private final List<Consumer<Boolean>> uncommitted = new ArrayList<>();
    private final List<StreamOriginState.BegunAt> origins = new ArrayList<>();
    private boolean commitsAtOnce = true;

    @Override
    public void add(ServiceVersion version, Consumer<Boolean> callback) {
      added.add(version);
      if (commitsAtOnce) {
        callback.accept(true);
      } else {
        uncommitted.add(callback);
      }
    }

    @Override
    public void remove(Collection<ServiceVersion> versions) {
      removed.addAll(versions);
    }

    @Override
    public void recordOrigins(
        FleetCommand.RecordStreamOrigins command, Consumer<Boolean> callback) {
      origins.addAll(command.origins());
      callback.accept(true);
    }
  }

  private List<HostRecord> connectedGateways() {
    gatewayReads++;
    return gateways;
  }

  private void send(String host, Envelope.Builder message) {
    if (sendFailures > 0) {
      sendFailures--;
      throw new IllegalStateException("unexpected failure");
    }
    sent.add(Map.entry(host, message.build()));
  }

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

  private void receiveStatus(String gateway, long version, long revision, boolean full) {
    scheduler.handleStatus(
        host(gateway),
        GatewayStatus.newBuilder()
            .setTerm(5)
            .setVersion(version)
            .setCatalogRevision(revision)
            .setFull(full)
            .build());
  }

  private void startLeading() {
    scheduler.setTerm(5, List.of());
    receiveStatus("g1", 0, 0, true);
    receiveStatus("g2", 0, 0, true);
    time.advance(AFTER_REBUILD_MILLIS);
  }

  private long lastVersion() {
    return sent.stream()
        .filter(message -> message.getValue().hasSchedulerView())
        .mapToLong(message -> message.getValue().getSchedulerView().getVersion())
        .max()
        .orElse(0);
  }

  private static final class RecordedResult {
    private @org.jspecify.annotations.Nullable Boolean value;

    void accept(boolean accepted) {
      value = accepted;
    }
  }

  @Test
  void a_leaving_backend_server_is_acknowledged_only_when_every_gateway_has_the_change() {
    startLeading();
    scheduler.register(backend(1, false), new RecordedResult()::accept);
    RecordedResult result = new RecordedResult();

    scheduler.register(backend(2, true), result::accept);
    receiveStatus("g1", lastVersion(), 0, false);
    assertThat(result.value).isNull();
    receiveStatus("g2", lastVersion(), 0, false);

    assertThat(result.value).isTrue();
  }

  @Test
  void a_deregistration_does_not_wait_for_a_disconnected_gateway() {
    startLeading();
    scheduler.register(backend(1, false), new RecordedResult()::accept);
    RecordedResult result = new RecordedResult();
    scheduler.deregister("i-1", result::accept);
    receiveStatus("g1", lastVersion(), 0, false);
    assertThat(result.value).isNull();

    gateways.removeLast();
    scheduler.gatewayDisconnected(host("g2"));

    assertThat(result.value).isTrue();
  }

  @Test
  void a_catalog_is_accepted_once_every_gateway_has_activated_it() {
    startLeading();
    Catalog catalog = new Catalog(8, List.of(), List.of(), RequestLimits.standard(), null);
    scheduler.applyCatalog(catalog, ByteString.copyFromUtf8("document"));
    RecordedResult result = new RecordedResult();

    scheduler.notifyWhenCatalogActive(8, result::accept);
    receiveStatus("g1", 0, 8, false);
    assertThat(result.value).isNull();
    receiveStatus("g2", 0, 8, false);

    assertThat(result.value).isTrue();
  }

  @Test
  void a_gateway_whose_status_was_lost_is_asked_for_it_and_then_receives_the_backend_servers() {
    scheduler.setTerm(5, List.of());
    receiveStatus("g1", 0, 0, true);
    time.advance(AFTER_REBUILD_MILLIS);
    scheduler.register(backend(1, false), new RecordedResult()::accept);
    sent.clear();

    time.advance(1_000);
    assertThat(viewsTo("g2")).isNotEmpty().allMatch(SchedulerView::getFullStatusRequested);
    assertThat(viewsTo("g1")).isNotEmpty().noneMatch(SchedulerView::getFullStatusRequested);
    receiveStatus("g2", 0, 0, true);

    assertThat(viewsTo("g2").getLast().getBackendsList()).hasSize(1);
  }

  private List<SchedulerView> viewsTo(String gateway) {
    return sent.stream()
        .filter(message -> message.getKey().equals(gateway))
        .map(Map.Entry::getValue)
        .filter(Envelope::hasSchedulerView)
        .map(Envelope::getSchedulerView)
        .toList();
  }

  @Test
  void a_gateway_that_connects_is_sent_the_scheduler_term_at_once() {
    startLeading();
    gateways.add(host("g3"));

    scheduler.gatewayConnected(host("g3"));

    assertThat(sent.getLast().getKey()).isEqualTo("g3");
    assertThat(sent.getLast().getValue().getSchedulerView().getTerm()).isEqualTo(5);
  }

  @Test
  void a_gateway_is_notified_that_its_request_is_queued() {
    startLeading();
    scheduler.register(backend(1, false), new RecordedResult()::accept);
    for (long id = 1; id <= 4; id++) {
      PlacementRequest placementRequest =
          PlacementRequest.newBuilder()
              .setId(id)
              .setService("plain")
              .setTargetLeftMillis(500)
              .setDeadlineLeftMillis(3_000)
              .build();
      scheduler.handleRequests(
          host("g1"), DispatchRequests.newBuilder().setTerm(5).addAsks(placementRequest).build());
    }

    assertThat(sent.getLast().getValue().getDispatchOrders().getWaitingList()).containsExactly(4L);
  }

  @Test
  void a_new_leader_ends_its_rebuild_as_soon_as_every_gateway_has_reported_its_state() {
    scheduler.setTerm(5, List.of());
    receiveStatus("g1", 0, 0, true);
    RecordedResult result = new RecordedResult();
    scheduler.register(backend(1, false), result::accept);
    time.advance(Scheduler.MIN_REBUILD_MILLIS + 20);
    assertThat(result.value).isNull();

    receiveStatus("g2", 0, 0, true);

    assertThat(result.value).isTrue();
  }

  @Test
  void a_new_leader_places_nothing_on_slots_that_running_requests_occupy() {
    scheduler.setTerm(5, List.of());
    scheduler.handleStatus(
        host("g1"),
        GatewayStatus.newBuilder()
            .setTerm(5)
            .setFull(true)
            .addBackends(backend(1, false))
            .addOpen(runningDispatch(1))
            .addOpen(runningDispatch(2))
            .addOpen(runningDispatch(3))
            .build());
    receiveStatus("g2", 0, 0, true);
    DispatchRequests requests =
        DispatchRequests.newBuilder().setTerm(5).addAsks(placementRequest(9)).build();

    scheduler.handleRequests(host("g2"), requests);
    assertThat(sent).noneMatch(message -> message.getValue().hasDispatchOrders());
    time.advance(AFTER_REBUILD_MILLIS);

    // The two slots already run three requests, their limit: request 9 is queued.
    assertThat(sent)
        .noneMatch(
            message ->
                message.getValue().hasDispatchOrders()
                    && message.getValue().getDispatchOrders().getPlacementsCount() > 0);
  }

  private static PlacementRequest placementRequest(long id) {
    return PlacementRequest.newBuilder()
        .setId(id)
        .setService("plain")
        .setTargetLeftMillis(5_000)
        .setDeadlineLeftMillis(9_000)
        .build();
  }

  private static RunningDispatch runningDispatch(long id) {
    return RunningDispatch.newBuilder().setAsk(placementRequest(id)).setBackend("i-1").build();
  }

  @Test
  void pending_registrations_are_not_acknowledged_when_the_host_stops_leading() {
    startLeading();
    scheduler.register(backend(1, false), new RecordedResult()::accept);
    RecordedResult result = new RecordedResult();
    scheduler.register(backend(2, true), result::accept);

    scheduler.setTerm(0, List.of());

    assertThat(result.value).isFalse();
    assertThat(sent.getLast().getValue().getSchedulerView().getResigned()).isTrue();
  }

  // ---- crashes of engines -----------------------------------------------------------------------

  private static PlacementRequest requestWithPart(long id, String part) {
    return PlacementRequest.newBuilder()
        .setId(id)
        .setService("plain")
        .addParts(PromptPart.newBuilder().setId(part))
        .addParts(PromptPart.newBuilder().setId("own" + id))
        .setTargetLeftMillis(500)
        .setDeadlineLeftMillis(3_000)
        .build();
  }

  private void receiveRequests(String gateway, DispatchRequests.Builder requests) {
    scheduler.handleRequests(host(gateway), requests.setTerm(5).build());
  }

  /** Has each of three gateways in turn lose an engine under a request with the part. */
  private void crashThreeEnginesOn(String part) {
    for (int i = 1; i <= 3; i++) {
      String engine = "i-" + (10 + i);
      String gateway = "g" + (1 + i % 2);
      scheduler.register(
          backend(1, false).toBuilder().setId(engine).build(), new RecordedResult()::accept);
      receiveRequests(gateway, DispatchRequests.newBuilder().addAsks(requestWithPart(i, part)));
      time.advance(200);
      receiveRequests(
          gateway,
          DispatchRequests.newBuilder()
              .addCrashedBackends(engine)
              .addEnds(
                  DispatchEnd.newBuilder()
                      .setId(i)
                      .setOutcome(DispatchOutcome.DISPATCH_OUTCOME_FAILED)));
    }
  }

  @Test
  void a_part_that_crashed_engines_under_several_gateways_is_blocked_at_all_of_them() {
    startLeading();
    crashThreeEnginesOn("bad");

    for (String gateway : List.of("g1", "g2")) {
      assertThat(sent)
          .filteredOn(message -> message.getKey().equals(gateway))
          .extracting(message -> message.getValue().getSchedulerView())
          .flatExtracting(SchedulerView::getCrashSuspectsList)
          .anyMatch(part -> part.getPart().equals("bad") && part.getBlockedLeftMillis() > 0);
    }
    sent.clear();
    receiveRequests("g1", DispatchRequests.newBuilder().addAsks(requestWithPart(9, "bad")));
    assertThat(sent)
        .flatExtracting(message -> message.getValue().getDispatchOrders().getRefusalsList())
        .extracting(Rejection::getReason)
        .containsExactly("CRASHES_BACKENDS");
  }

  @Test
  void a_new_leader_goes_on_from_the_crashes_that_the_gateways_know() {
    startLeading();
    crashThreeEnginesOn("bad");
    List<SuspectRecord> known =
        sent.stream()
            .map(message -> message.getValue().getSchedulerView().getCrashSuspectsList())
            .filter(list -> !list.isEmpty())
            .reduce((first, second) -> second)
            .orElseThrow();
    scheduler.setTerm(0, List.of());
    sent.clear();

    scheduler.setTerm(5, List.of());
    scheduler.handleStatus(
        host("g1"),
        GatewayStatus.newBuilder().setTerm(5).setFull(true).addAllCrashSuspects(known).build());
    receiveStatus("g2", 0, 0, true);
    time.advance(AFTER_REBUILD_MILLIS);
    receiveRequests("g2", DispatchRequests.newBuilder().addAsks(requestWithPart(9, "bad")));

    assertThat(sent)
        .flatExtracting(message -> message.getValue().getDispatchOrders().getRefusalsList())
        .extracting(Rejection::getReason)
        .containsExactly("CRASHES_BACKENDS");
  }

  private static PlacementRequest suspect(long id) {
    return placementRequest(id).toBuilder().setFingerprint(0xbadL).build();
  }

  private void ask(String gateway, PlacementRequest request) {
    receiveRequests(gateway, DispatchRequests.newBuilder().addAsks(request));
  }

  /** Has a server crash under the suspect, which then runs through g1 while g2 waits with it. */
  private void runAndQueueSuspect() {
    startLeading();
    for (String id : List.of("i-11", "i-12", "i-13")) {
      scheduler.register(
          backend(1, false).toBuilder().setId(id).build(), new RecordedResult()::accept);
    }
    ask("g1", suspect(1));
    time.advance(200);
    receiveRequests("g1", DispatchRequests.newBuilder().addCrashedBackends(placedAt(1)));
    DispatchEnd.Builder end =
        DispatchEnd.newBuilder().setId(1).setOutcome(DispatchOutcome.DISPATCH_OUTCOME_FAILED);
    receiveRequests("g1", DispatchRequests.newBuilder().addEnds(end));
    ask("g1", suspect(2));
    ask("g2", suspect(3));
  }

  /** Returns where a request was placed; empty if it was not. */
  private String placedAt(long id) {
    return sent.stream()
        .flatMap(message -> message.getValue().getDispatchOrders().getPlacementsList().stream())
        .filter(placement -> placement.getId() == id)
        .map(Placement::getBackend)
        .findFirst()
        .orElse("");
  }

  private static GatewayStatus.Builder statusWith(PlacementRequest running, String backend) {
    return GatewayStatus.newBuilder()
        .setTerm(5)
        .setFull(true)
        .addOpen(RunningDispatch.newBuilder().setAsk(running).setBackend(backend));
  }

  /** Guards against a second run of a suspect between the two halves of a full status. */
  @Test
  void a_suspect_waits_on_while_the_gateway_where_it_runs_reports_its_state() {
    runAndQueueSuspect();
    assertThat(placedAt(2)).isNotEmpty();

    scheduler.handleStatus(host("g1"), statusWith(suspect(2), placedAt(2)).build());
    time.advance(1_000);

    assertThat(placedAt(3)).isEmpty();
  }

  /** Guards against a second run of a suspect that still runs through a gateway that was lost. */
  @Test
  void a_suspect_waits_on_while_the_gateway_where_it_runs_is_not_connected() {
    runAndQueueSuspect();

    scheduler.gatewayDisconnected(host("g1"));
    time.advance(500);
    assertThat(placedAt(3)).isEmpty();
    scheduler.handleStatus(host("g1"), statusWith(suspect(2), placedAt(2)).build());
    time.advance(500);
    assertThat(placedAt(3)).isEmpty();
    receiveStatus("g1", 0, 0, true);
    time.advance(100);

    assertThat(placedAt(3)).isNotEmpty();
  }

  /** Guards against a suspect that is held back for ever by a gateway that does not come back. */
  @Test
  void a_suspect_that_ran_through_a_lost_gateway_is_placed_after_the_deadline_of_its_run() {
    runAndQueueSuspect();

    scheduler.gatewayDisconnected(host("g1"));
    for (long sequence = 2; sequence <= 3; sequence++) {
      time.advance(4_600);
      scheduler.register(
          backend(sequence, false).toBuilder().setId("i-13").build(), new RecordedResult()::accept);
    }
    ask("g2", suspect(4));

    assertThat(placedAt(4)).isNotEmpty();
  }

  /** Starts a leader that hears g1, and not g2, of two gateways that placed requests before. */
  private void startLeadingWithoutOneGateway(long timeoutMillis) {
    scheduler.applyCatalog(catalogWithTimeout(timeoutMillis), ByteString.copyFromUtf8("document"));
    gateways.removeLast();
    scheduler.setTerm(5, List.of());
    scheduler.handleStatus(
        host("g1"),
        GatewayStatus.newBuilder()
            .setTerm(5)
            .setFull(true)
            .setMostGateways(2)
            .addCrashSuspects(
                SuspectRecord.newBuilder()
                    .setService("plain")
                    .setFingerprint(0xbadL)
                    .addCrashes(BackendCrash.newBuilder().setBackend("i-9").setAgeMillis(900)))
            .build());
    time.advance(AFTER_REBUILD_MILLIS);
    for (String id : List.of("i-11", "i-12")) {
      scheduler.register(
          backend(1, false).toBuilder().setId(id).build(), new RecordedResult()::accept);
    }
  }

  private static Catalog catalogWithTimeout(long timeoutMillis) {
    Route route =
        new Route(
            "pages",
            "site.example",
            "/",
            Repeatability.IDEMPOTENT,
            timeoutMillis,
            400,
            0,
            1,
            3,
            false,
            false,
            List.of(new ServiceWeight("plain", 1)));
    return new Catalog(
        8,
        List.of(route),
        List.of(new ServiceSpec("plain", 100, null)),
        RequestLimits.standard(),
        null);
  }

  /** Guards against a second run of a suspect that runs through a gateway not heard by a leader. */
  @Test
  void a_new_leader_places_no_suspect_until_all_earlier_gateways_have_told_what_they_run() {
    startLeadingWithoutOneGateway(39_000);
    ask("g1", suspect(1));
    ask("g1", placementRequest(2));
    time.advance(1_000);
    assertThat(placedAt(1)).isEmpty();
    assertThat(placedAt(2)).isNotEmpty();

    gateways.add(host("g2"));
    scheduler.gatewayConnected(host("g2"));
    receiveStatus("g2", 0, 0, true);
    time.advance(200);

    assertThat(placedAt(1)).isNotEmpty();
  }

  /** Guards against a suspect that is held back for ever by a gateway that does not come back. */
  @Test
  void a_new_leader_places_a_suspect_once_no_run_of_an_earlier_gateway_can_last() {
    startLeadingWithoutOneGateway(2_000);
    ask("g1", suspect(1));
    time.advance(1_400);
    assertThat(placedAt(1)).isEmpty();

    time.advance(700);

    assertThat(placedAt(1)).isNotEmpty();
  }

  /** Guards against more requests on a server than it has room for, which it then rejects. */
  @Test
  void nothing_is_placed_on_the_slots_of_a_gateway_while_it_reports_its_state() {
    startLeading();
    scheduler.register(backend(1, false), new RecordedResult()::accept);
    for (long id = 1; id <= 3; id++) {
      ask("g1", placementRequest(id));
    }
    ask("g2", placementRequest(4));
    assertThat(placedAt(3)).isNotEmpty();
    assertThat(placedAt(4)).isEmpty();

    scheduler.handleStatus(
        host("g1"),
        statusWith(placementRequest(1), "i-1")
            .addOpen(runningDispatch(2))
            .addOpen(runningDispatch(3))
            .build());

    assertThat(placedAt(4)).isEmpty();
  }

  // ---- limits on requests
  // ------------------------------------------------------------------------

  private static RateLimitRecord limit(double requestsPerSecond) {
    return RateLimitRecord.newBuilder()
        .setBackend("i-1")
        .setRequestsPerSecond(requestsPerSecond)
        .setStatedAgeMillis(100)
        .build();
  }

  private long placementsSent() {
    return sent.stream()
        .mapToLong(message -> message.getValue().getDispatchOrders().getPlacementsCount())
        .sum();
  }

  /** Lets the two slots of the backend server run and complete ten requests a second. */
  private void offerRequests(long firstId, long durationMillis) {
    long id = firstId;
    for (long elapsedMillis = 0; elapsedMillis < durationMillis; elapsedMillis += 100) {
      receiveRequests("g1", DispatchRequests.newBuilder().addAsks(placementRequest(id)));
      time.advance(100);
      receiveRequests(
          "g1",
          DispatchRequests.newBuilder()
              .addEnds(
                  DispatchEnd.newBuilder()
                      .setId(id++)
                      .setOutcome(DispatchOutcome.DISPATCH_OUTCOME_ANSWERED)));
    }
  }

  @Test
  void a_limit_that_one_gateway_hears_holds_for_all_and_reaches_all() {
    startLeading();
    scheduler.register(backend(1, false), new RecordedResult()::accept);
    receiveRequests("g1", DispatchRequests.newBuilder().addAsks(placementRequest(1)));
    receiveRequests(
        "g1",
        DispatchRequests.newBuilder()
            .addStatements(
                BackendStatement.newBuilder()
                    .setId(1)
                    .setBackend("i-1")
                    .setLimited(true)
                    .setRequestsPerSecond(0.5)));
    sent.clear();

    receiveRequests("g2", DispatchRequests.newBuilder().addAsks(placementRequest(2)));
    time.advance(500);

    assertThat(placementsSent()).isZero();
    assertThat(viewsTo("g2"))
        .flatExtracting(view -> view.getRateLimits().getLimitsList())
        .extracting(RateLimitRecord::getRequestsPerSecond)
        .containsExactly(0.5);
  }

  @Test
  void statements_that_a_server_leaves_or_rests_do_not_end_its_limit() {
    startLeading();
    scheduler.register(backend(1, false), new RecordedResult()::accept);
    BackendStatement limit =
        BackendStatement.newBuilder()
            .setBackend("i-1")
            .setLimited(true)
            .setRequestsPerSecond(2)
            .build();
    receiveRequests("g1", DispatchRequests.newBuilder().addStatements(limit));
    time.advance(1_000);
    receiveRequests("g1", DispatchRequests.newBuilder().addAsks(placementRequest(2)));
    sent.clear();

    receiveRequests(
        "g1",
        DispatchRequests.newBuilder()
            .addStatements(
                BackendStatement.newBuilder().setId(2).setBackend("i-1").setRestMillis(100))
            .addStatements(
                BackendStatement.newBuilder().setId(2).setBackend("i-1").setLeaving(true)));
    time.advance(500);

    assertThat(viewsTo("g2"))
        .filteredOn(SchedulerView::hasRateLimits)
        .allMatch(view -> view.getRateLimits().getLimitsCount() == 1);
  }

  @Test
  void the_next_scheduler_keeps_the_limits_that_the_gateways_know() {
    scheduler.setTerm(5, List.of());
    scheduler.handleStatus(
        host("g1"),
        GatewayStatus.newBuilder()
            .setTerm(5)
            .setFull(true)
            .addBackends(backend(1, false))
            .addRateLimits(limit(1))
            .build());
    receiveStatus("g2", 0, 0, true);
    time.advance(AFTER_REBUILD_MILLIS);

    offerRequests(1, 4_000);

    assertThat(placementsSent()).isBetween(3L, 5L);
  }

  @Test
  void capacities_that_a_gateway_knows_reach_a_new_leader_and_from_it_the_others() {
    scheduler.setTerm(5, List.of());
    scheduler.handleStatus(
        host("g1"),
        GatewayStatus.newBuilder()
            .setTerm(5)
            .setFull(true)
            .addBackends(backend(1, false))
            .addCapacities(
                LearntCapacity.newBuilder()
                    .setBackend("i-1")
                    .setLightMicros(20_000)
                    .setKneeRequests(2))
            .build());
    receiveStatus("g2", 0, 0, true);
    time.advance(AFTER_REBUILD_MILLIS);
    time.advance(2_000);

    assertThat(viewsTo("g2"))
        .flatExtracting(SchedulerView::getCapacitiesList)
        .extracting(LearntCapacity::getBackend)
        .containsExactly("i-1");
  }

  @Test
  void a_statement_of_slowness_does_not_end_a_limit() {
    startLeading();
    scheduler.register(backend(1, false), new RecordedResult()::accept);
    receiveRequests(
        "g1",
        DispatchRequests.newBuilder()
            .addStatements(
                BackendStatement.newBuilder()
                    .setBackend("i-1")
                    .setLimited(true)
                    .setRequestsPerSecond(2)));
    time.advance(1_000);
    receiveRequests("g1", DispatchRequests.newBuilder().addAsks(placementRequest(2)));
    sent.clear();

    receiveRequests(
        "g1",
        DispatchRequests.newBuilder()
            .addStatements(
                BackendStatement.newBuilder().setId(2).setBackend("i-1").setSlownessPercent(250)));
    time.advance(500);

    assertThat(viewsTo("g2"))
        .filteredOn(SchedulerView::hasRateLimits)
        .allMatch(view -> view.getRateLimits().getLimitsCount() == 1);
  }

  @Test
  void a_gateway_that_was_lost_keeps_its_share_of_a_limit() {
    startLeading();
    scheduler.register(backend(1, false), new RecordedResult()::accept);
    receiveRequests(
        "g1",
        DispatchRequests.newBuilder()
            .addStatements(
                BackendStatement.newBuilder()
                    .setBackend("i-1")
                    .setLimited(true)
                    .setRequestsPerSecond(2)));
    gateways.removeLast();
    scheduler.gatewayDisconnected(host("g2"));
    sent.clear();

    offerRequests(1, 4_000);

    assertThat(placementsSent()).isBetween(3L, 5L);
  }

  // ---- failures and suspended processes
  // ----------------------------------------------------------

  @Test
  void the_work_of_a_heartbeat_grows_with_the_gateways_and_not_with_their_square() {
    for (int i = 3; i <= 95; i++) {
      gateways.add(host("g" + i));
    }
    startLeading();
    sent.clear();
    gatewayReads = 0;

    time.advance(ONE_HEARTBEAT_MILLIS);

    assertThat(sent).hasSizeBetween(95, 2 * 95);
    assertThat(gatewayReads).isLessThan(10);
  }

  @Test
  void an_unexpected_error_in_periodic_work_does_not_end_the_heartbeats() {
    startLeading();
    sendFailures = 1;
    time.advance(500);
    sent.clear();

    time.advance(500);

    assertThat(viewsTo("g1")).isNotEmpty();
  }

  @Test
  void a_leader_that_was_suspended_does_not_acknowledge_that_a_backend_server_leaves() {
    startLeading();
    scheduler.register(backend(1, false), new RecordedResult()::accept);
    RecordedResult result = new RecordedResult();
    scheduler.register(backend(2, true), result::accept);
    assertThat(result.value).isNull();

    hasLease = false;
    gateways.clear();
    scheduler.gatewayDisconnected(host("g1"));
    scheduler.gatewayDisconnected(host("g2"));

    assertThat(result.value).isFalse();
  }

  @Test
  void decisions_state_the_full_status_that_they_are_based_on() {
    startLeading();
    scheduler.register(backend(1, false), new RecordedResult()::accept);
    scheduler.handleStatus(
        host("g1"), GatewayStatus.newBuilder().setTerm(5).setFull(true).setNumber(7).build());
    sent.clear();

    receiveRequests("g1", DispatchRequests.newBuilder().addAsks(placementRequest(1)));

    assertThat(sent.getLast().getValue().getDispatchOrders().getStatusNumber()).isEqualTo(7);
  }

  @Test
  void a_backend_server_that_was_silent_for_a_while_keeps_its_requests_and_is_used_again() {
    startLeading();
    scheduler.register(backend(1, false), new RecordedResult()::accept);
    receiveRequests("g1", DispatchRequests.newBuilder().addAsks(placementRequest(1)));
    sent.clear();

    time.advance(7_000);
    assertThat(sent)
        .extracting(message -> message.getValue().getDispatchOrders())
        .allMatch(
            orders ->
                orders.getStopsCount() + orders.getMovesCount() + orders.getPlacementsCount() == 0);
    scheduler.register(backend(2, false), new RecordedResult()::accept);
    receiveRequests("g1", DispatchRequests.newBuilder().addAsks(placementRequest(2)));

    assertThat(placementsSent()).isEqualTo(1);
  }

  // ---- size of what is sent ---------------------------------------------------------------------

  /** Guards against a large catalog that is sent with each heartbeat while it is on its way. */
  @Test
  void a_catalog_is_sent_again_only_when_it_was_not_acknowledged_for_a_while() {
    startLeading();
    Catalog catalog = new Catalog(8, List.of(), List.of(), RequestLimits.standard(), null);
    sent.clear();
    scheduler.applyCatalog(catalog, ByteString.copyFromUtf8("document"));

    time.advance(4 * ONE_HEARTBEAT_MILLIS);
    assertThat(viewsTo("g1")).filteredOn(view -> !view.getCatalog().isEmpty()).hasSize(1);
    receiveStatus("g1", 0, 8, false);
    time.advance(GatewayView.RESEND_MILLIS);

    assertThat(viewsTo("g1")).filteredOn(view -> !view.getCatalog().isEmpty()).hasSize(1);
    assertThat(viewsTo("g2")).filteredOn(view -> !view.getCatalog().isEmpty()).hasSize(2);
  }

  /** Guards against a complete list with each heartbeat while a change is on its way. */
  @Test
  void a_change_that_was_lost_is_followed_by_the_complete_list_after_a_while() {
    startLeading();
    sent.clear();
    scheduler.register(backend(1, false), new RecordedResult()::accept);

    time.advance(4 * ONE_HEARTBEAT_MILLIS);
    assertThat(viewsTo("g1")).filteredOn(view -> view.getBackendsCount() > 0).hasSize(1);
    time.advance(GatewayView.RESEND_MILLIS);

    assertThat(viewsTo("g1").stream().filter(view -> view.getBackendsCount() > 0).toList().get(1))
        .satisfies(view -> assertThat(view.getBaseVersion()).isZero());
  }

  /** Guards against the complete list for each backend server that stops registering. */
  @Test
  void a_backend_server_that_stopped_registering_is_published_without_the_others() {
    startLeading();
    scheduler.register(backend(1, false), new RecordedResult()::accept);
    receiveStatus("g1", lastVersion(), 0, false);
    receiveStatus("g2", lastVersion(), 0, false);
    sent.clear();

    time.advance(7_000);

    assertThat(viewsTo("g1")).filteredOn(view -> view.getExpiredCount() > 0).hasSize(1);
    assertThat(viewsTo("g1").stream().filter(view -> view.getExpiredCount() > 0).findFirst())
        .hasValueSatisfying(
            view -> {
              assertThat(view.getExpiredList()).containsExactly("i-1");
              assertThat(view.getGoneList()).isEmpty();
              assertThat(view.getBaseVersion()).isPositive();
            });
  }

  // ---- software versions after the loss of all hosts --------------------------------------------

  private static BackendRecord backend(String id, String version) {
    return backend(1, false).toBuilder().setId(id).setSoftwareVersion(version).build();
  }

  private static PlacementRequest resumption(long id) {
    return placementRequest(id).toBuilder().setResumes(true).setResumedStream(99).build();
  }

  private List<String> rejections() {
    return sent.stream()
        .flatMap(message -> message.getValue().getDispatchOrders().getRefusalsList().stream())
        .map(Rejection::getReason)
        .toList();
  }

  /**
   * Guards against streams that are joined from two versions: after the loss of all hosts, nobody
   * would know of a version whose servers have left, or are not back yet.
   */
  @Test
  void a_leader_that_lost_all_else_knows_the_versions_that_served_before() {
    scheduler.setTerm(
        5, List.of(new ServiceVersion("plain", "v1"), new ServiceVersion("plain", "v2")));
    receiveStatus("g1", 0, 0, true);
    receiveStatus("g2", 0, 0, true);
    time.advance(AFTER_REBUILD_MILLIS);
    scheduler.register(backend("i-2", "v2"), new RecordedResult()::accept);

    receiveRequests("g1", DispatchRequests.newBuilder().addAsks(resumption(1)));

    assertThat(rejections()).containsExactly("STREAM_ORIGIN_UNKNOWN");
    assertThat(placementsSent()).isZero();
  }

  /** Guards against a leader that was suspended while another leader published a new version. */
  @Test
  void a_leader_whose_lease_has_run_out_does_not_rely_on_the_one_version_that_it_knows() {
    startLeading();
    scheduler.register(backend("i-1", "v1"), new RecordedResult()::accept);
    hasLease = false;

    receiveRequests("g1", DispatchRequests.newBuilder().addAsks(resumption(1)));

    assertThat(rejections()).containsExactly("STREAM_ORIGIN_UNKNOWN");
    assertThat(placementsSent()).isZero();
  }

  /** Guards against a stream that begins at a version which the next leader cannot know. */
  @Test
  void a_server_is_not_published_before_its_version_is_committed() {
    startLeading();
    versionLog.commitsAtOnce = false;
    RecordedResult result = new RecordedResult();
    sent.clear();

    scheduler.register(backend("i-1", "v1"), result::accept);
    scheduler.register(backend("i-2", "v1"), new RecordedResult()::accept);
    assertThat(viewsTo("g1")).allMatch(view -> view.getBackendsCount() == 0);
    assertThat(result.value).isNull();
    versionLog.uncommitted.getFirst().accept(true);

    assertThat(versionLog.added).containsExactly(new ServiceVersion("plain", "v1"));
    assertThat(viewsTo("g1")).extracting(SchedulerView::getBackendsCount).contains(1);
    assertThat(result.value).isTrue();
  }

  /** Guards against requests for an earlier start that a new one with another version receives. */
  @Test
  void an_earlier_start_is_removed_before_the_version_of_the_new_one_is_committed() {
    startLeading();
    scheduler.register(startOf("i-1", 100, "v1"), new RecordedResult()::accept);
    versionLog.commitsAtOnce = false;
    sent.clear();

    scheduler.register(startOf("i-1", 200, "v2"), new RecordedResult()::accept);

    assertThat(viewsTo("g1")).flatExtracting(SchedulerView::getGoneList).contains("i-1@100");
    assertThat(viewsTo("g1")).allMatch(view -> view.getBackendsCount() == 0);
  }

  private static BackendRecord startOf(String name, long startedAtMillis, String version) {
    return backend(name + "@" + startedAtMillis, version).toBuilder()
        .setInstance(name)
        .setIncarnation(startedAtMillis)
        .build();
  }

  @Test
  void a_server_is_not_published_after_its_leader_lost_its_term_before_the_commit() {
    startLeading();
    versionLog.commitsAtOnce = false;
    RecordedResult result = new RecordedResult();
    scheduler.register(backend("i-1", "v1"), result::accept);

    scheduler.setTerm(0, List.of());
    versionLog.uncommitted.getFirst().accept(true);

    assertThat(result.value).isFalse();
    assertThat(viewsTo("g1")).allMatch(view -> view.getBackendsCount() == 0);
  }

  /** Guards against servers that count as gone since they register again without a change. */
  @Test
  void a_stream_is_recorded_while_two_versions_serve_that_have_registered_long_ago() {
    startLeading();
    for (int sequence = 1; sequence <= 40; sequence++) {
      for (String version : List.of("v1", "v2")) {
        scheduler.register(
            backend("i-" + version, version).toBuilder().setSequence(sequence).build(),
            new RecordedResult()::accept);
      }
      time.advance(5_000);
    }
    PlacementRequest request = placementRequest(1).toBuilder().setStream(77).build();
    scheduler.handleRequests(
        host("g1"), DispatchRequests.newBuilder().setTerm(5).addAsks(request).build());
    scheduler.handleRequests(
        host("g1"),
        DispatchRequests.newBuilder()
            .setTerm(5)
            .addProgress(DispatchProgress.newBuilder().setId(1).setOutputTokens(4))
            .build());
    time.advance(2 * ONE_HEARTBEAT_MILLIS);

    assertThat(versionLog.origins)
        .flatExtracting(StreamOriginState.BegunAt::streams)
        .containsExactly(77L);
  }

  /** Guards against versions that stay in the log, so that no unknown stream goes on any more. */
  @Test
  void a_version_is_removed_once_none_of_its_streams_can_be_taken_up() {
    scheduler.setTerm(5, List.of(new ServiceVersion("plain", "v1")));
    receiveStatus("g1", 0, 0, true);
    receiveStatus("g2", 0, 0, true);
    time.advance(AFTER_REBUILD_MILLIS);

    time.advance(119_000);
    assertThat(versionLog.removed).isEmpty();
    time.advance(2_000);

    assertThat(versionLog.removed).containsExactly(new ServiceVersion("plain", "v1"));
  }

  private void applyColdCatalog() {
    ServiceSpec service = new ServiceSpec("plain", 100, null, new ColdStart(1, 24));
    scheduler.applyCatalog(
        new Catalog(8, List.of(), List.of(service), RequestLimits.standard(), null),
        ByteString.copyFromUtf8("document"));
  }

  private static BackendRecord cold(long sequence, long leftMillis) {
    return backend(sequence, false).toBuilder().setColdLeftMillis(leftMillis).build();
  }

  private List<Long> publishedColdTimes() {
    return viewsTo("g1").stream()
        .flatMap(view -> view.getBackendsList().stream())
        .map(BackendRecord::getColdLeftMillis)
        .toList();
  }

  @Test
  void a_new_server_is_published_as_cold_and_again_when_it_becomes_cold_again() {
    applyColdCatalog();
    startLeading();
    sent.clear();

    scheduler.register(cold(1, 0), new RecordedResult()::accept);
    time.advance(1_200);
    scheduler.register(cold(2, 0), new RecordedResult()::accept);
    time.advance(1_200);
    scheduler.register(cold(3, 700), new RecordedResult()::accept);

    assertThat(publishedColdTimes().getFirst()).isEqualTo(1_000);
    assertThat(publishedColdTimes().getLast()).isEqualTo(700);
  }

  @Test
  void a_new_leader_learns_the_cold_times_that_are_left_from_the_gateways() {
    applyColdCatalog();
    scheduler.setTerm(5, List.of());
    scheduler.handleStatus(
        host("g1"),
        GatewayStatus.newBuilder().setTerm(5).setFull(true).addBackends(cold(1, 4_000)).build());
    receiveStatus("g2", 0, 0, true);
    sent.clear();

    time.advance(AFTER_REBUILD_MILLIS);

    assertThat(publishedColdTimes()).isNotEmpty().allMatch(left -> left > 3_600 && left < 4_000);
  }

  /** Offers 50 requests a second, each of which ends at once; returns how many were placed. */
  private long placementsIn(long durationMillis) {
    sent.clear();
    for (long id = 1; id <= durationMillis / 20; id++) {
      PlacementRequest request =
          PlacementRequest.newBuilder()
              .setId(id)
              .setService("plain")
              .setTargetLeftMillis(100)
              .setDeadlineLeftMillis(3_000)
              .build();
      DispatchEnd end =
          DispatchEnd.newBuilder()
              .setId(id)
              .setOutcome(DispatchOutcome.DISPATCH_OUTCOME_ANSWERED)
              .build();
      scheduler.handleRequests(
          host("g1"), DispatchRequests.newBuilder().setTerm(5).addAsks(request).build());
      time.advance(20);
      scheduler.handleRequests(
          host("g1"), DispatchRequests.newBuilder().setTerm(5).addEnds(end).build());
    }
    return sent.stream()
        .mapToLong(message -> message.getValue().getDispatchOrders().getPlacementsCount())
        .sum();
  }

  @Test
  void a_new_leader_leaves_gateways_that_have_not_found_it_their_share_of_the_cold_rate() {
    applyColdCatalog();
    scheduler.setTerm(5, List.of());
    receiveStatus("g1", 0, 0, true);
    scheduler.handleStatus(
        host("g2"),
        GatewayStatus.newBuilder()
            .setTerm(5)
            .setFull(true)
            .setMostGateways(8)
            .addBackends(cold(1, 60_000))
            .build());
    time.advance(AFTER_REBUILD_MILLIS);

    // 2 of 8 gateways are connected, so that 6 of 24 requests/s are this leader's.
    assertThat(placementsIn(2_000)).isBetween(10L, 14L);
  }

  // ---- requests that come again -----------------------------------------------------------------

  private List<DispatchOrders> ordersTo(String gateway) {
    return sent.stream()
        .filter(message -> message.getKey().equals(gateway))
        .map(Map.Entry::getValue)
        .filter(Envelope::hasDispatchOrders)
        .map(Envelope::getDispatchOrders)
        .toList();
  }

  private void receiveAsk(String gateway, PlacementRequest request) {
    receiveRequests(gateway, DispatchRequests.newBuilder().addAsks(request));
  }

  private static PlacementRequest urgentRequest(long id) {
    return placementRequest(id).toBuilder().setTargetLeftMillis(100).build();
  }

  /** Guards against a rejection of a request that runs, since its place was given to another. */
  @Test
  void a_request_that_runs_and_comes_again_is_told_its_placement_again() {
    startLeading();
    scheduler.register(backend(1, false), new RecordedResult()::accept);
    receiveAsk("g1", urgentRequest(1));
    for (long id = 2; id <= 6; id++) {
      receiveAsk("g2", placementRequest(id));
    }
    DispatchOrders first = ordersTo("g1").getLast();
    sent.clear();

    receiveAsk("g1", urgentRequest(1));

    assertThat(first.getPlacementsList()).hasSize(1);
    assertThat(ordersTo("g1"))
        .extracting(DispatchOrders::getPlacementsList)
        .containsExactly(first.getPlacementsList());
    assertThat(ordersTo("g2")).isEmpty();
  }

  private static GatewayStatus.Builder fullStatus(long number) {
    return GatewayStatus.newBuilder().setTerm(5).setFull(true).setNumber(number);
  }

  /** Guards against a placement that the gateway obeys and the scheduler has forgotten. */
  @Test
  void a_decision_on_a_request_from_before_a_full_status_does_not_carry_its_number() {
    startLeading();
    scheduler.handleStatus(host("g1"), fullStatus(7).build());
    scheduler.register(backend(1, false), new RecordedResult()::accept);
    for (long id = 1; id <= 3; id++) {
      receiveAsk("g2", placementRequest(id));
    }
    receiveAsk("g1", placementRequest(9));
    sent.clear();

    BackendRecord other = backend(1, false).toBuilder().setId("i-2").build();
    scheduler.handleStatus(host("g1"), fullStatus(8).addBackends(other).build());

    assertThat(ordersTo("g1"))
        .filteredOn(orders -> orders.getPlacementsCount() + orders.getRefusalsCount() > 0)
        .extracting(DispatchOrders::getStatusNumber)
        .doesNotContain(8L);
  }

  /** Guards against a second decision on a request that the gateway has placed itself meanwhile. */
  @Test
  void a_request_that_a_later_full_status_reports_as_running_is_not_decided_after_the_rebuild() {
    scheduler.setTerm(5, List.of());
    scheduler.handleStatus(host("g1"), fullStatus(1).addBackends(backend(1, false)).build());
    receiveAsk("g1", placementRequest(4));
    receiveAsk("g1", placementRequest(5));
    scheduler.handleStatus(host("g1"), fullStatus(2).addOpen(runningDispatch(4)).build());

    time.advance(AFTER_REBUILD_MILLIS);

    assertThat(ordersTo("g1")).isEmpty();
  }

  /** Guards against decisions on requests of a process that has ended since. */
  @Test
  void requests_of_an_earlier_lifetime_of_a_gateway_are_not_decided() {
    startLeading();
    scheduler.register(backend(1, false), new RecordedResult()::accept);
    HostRecord restarted = host("g1").toBuilder().setIncarnation(2).build();
    scheduler.handleStatus(restarted, fullStatus(1).build());

    receiveAsk("g1", placementRequest(1));

    assertThat(ordersTo("g1")).isEmpty();
  }
}
