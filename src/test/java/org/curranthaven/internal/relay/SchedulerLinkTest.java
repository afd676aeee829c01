package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.ColdStart;
import org.curranthaven.internal.catalog.RequestLimits;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.curranthaven.internal.dispatch.BackendStatements;
import org.curranthaven.internal.dispatch.DispatchFeatures;
import org.curranthaven.internal.dispatch.RetryLimits;
import org.curranthaven.internal.dispatch.StatedLoad;
import org.curranthaven.internal.dispatch.StatedRateLimit;
import org.curranthaven.internal.transport.wire.BackendCrash;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.BackendStatement;
import org.curranthaven.internal.transport.wire.DispatchEnd;
import org.curranthaven.internal.transport.wire.DispatchOrders;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.DispatchRequests;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.GatewayStatus;
import org.curranthaven.internal.transport.wire.LearntCapacity;
import org.curranthaven.internal.transport.wire.Placement;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.curranthaven.internal.transport.wire.PromptPart;
import org.curranthaven.internal.transport.wire.RateLimitList;
import org.curranthaven.internal.transport.wire.RateLimitRecord;
import org.curranthaven.internal.transport.wire.Rejection;
import org.curranthaven.internal.transport.wire.RestRecord;
import org.curranthaven.internal.transport.wire.RunningDispatch;
import org.curranthaven.internal.transport.wire.SchedulerView;
import org.curranthaven.internal.transport.wire.ServedVersion;
import org.curranthaven.internal.transport.wire.StreamOrigin;
import org.curranthaven.internal.transport.wire.SuspectRecord;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

class SchedulerLinkTest {
  private final ManualTime time = new ManualTime();
  private final List<Envelope> sent = new ArrayList<>();
  private final SchedulerLink link =
      new SchedulerLink(
          "gateway-1",
          time.loop(),
          time,
          new SplittableRandom(1),
          new RetryLimits(0.2, 10, 10_000),
          (host, message) -> sent.add(message.build()),
          new SchedulerLink.ViewListener() {
            @Override
            public void catalogReceived(byte[] document) {}

            @Override
            public void backendsChanged(Collection<BackendRecord> backends) {}
          },
          DispatchFeatures.none());

  /** A request that records where it was placed. */
  private static final class RecordingListener implements RequestPlacer.PlacementListener {
    private final PlacementRequest placementRequest;
    private String backend = "";
    private String stopReason = "";
    private int placements;
    private String rejectionReason = "";
    private long retryAfterMillis = -1;
    private @Nullable String streamVersion;

    RecordingListener(long id) {
      this(id, 500);
    }

    RecordingListener(PlacementRequest placementRequest) {
      this.placementRequest = placementRequest;
    }

    RecordingListener(long id, long targetLeftMillis) {
      this.placementRequest =
          PlacementRequest.newBuilder()
              .setId(id)
              .setService("plain")
              .setTargetLeftMillis(targetLeftMillis)
              .setDeadlineLeftMillis(Math.max(targetLeftMillis, 3_000))
              .build();
    }

    @Override
    public void onPlaced(String backendId, int urgency, String backup) {
      placements++;
      backend = backendId;
    }

    @Override
    public void onRejected(long retryAfter, String reason) {
      if (!placementRequest.getResumes()) {
        throw new AssertionError("rejected: " + reason);
      }
      rejectionReason = reason;
      retryAfterMillis = retryAfter;
    }

    @Override
    public void onMigrate(String target, String backup) {}

    @Override
    public void onStopped(long retryAfterMillis, String reason) {
      stopReason = reason;
    }

    @Override
    public String backup() {
      return "i-2";
    }

    @Override
    public Migration migration() {
      return new Migration("i-3", "i-4");
    }

    @Override
    public PlacementRequest placementRequest() {
      return placementRequest;
    }

    @Override
    public int outputTokens() {
      return 0;
    }

    @Override
    public String backend() {
      return backend;
    }

    @Override
    public @Nullable String streamVersion() {
      return streamVersion;
    }
  }

  private static BackendRecord backend(String id) {
    return BackendRecord.newBuilder().setId(id).setService("plain").setSlots(4).build();
  }

  private void publishView(String host, long term, long version, String... backends) {
    SchedulerView.Builder view =
        SchedulerView.newBuilder().setTerm(term).setVersion(version).setGateways(1);
    for (String id : backends) {
      view.addBackends(backend(id));
    }
    link.handle(host, view.build());
  }

  private void requestPlacement(RecordingListener request) {
    link.requestPlacement(request.placementRequest(), request);
    time.advance(10);
  }

  private GatewayStatus lastStatus() {
    return sent.stream()
        .filter(Envelope::hasGatewayStatus)
        .map(Envelope::getGatewayStatus)
        .reduce((first, second) -> second)
        .orElseThrow();
  }

  @Test
  void a_request_is_sent_to_the_scheduler_and_runs_where_it_is_placed() {
    publishView("control-1", 3, 1, "i-1");
    RecordingListener request = new RecordingListener(7);
    requestPlacement(request);

    link.handle(
        "control-1",
        currentOrders().addPlacements(Placement.newBuilder().setId(7).setBackend("i-1")).build());

    assertThat(request.backend()).isEqualTo("i-1");
  }

  @Test
  void requests_are_placed_locally_while_no_scheduler_responds() {
    publishView("control-1", 3, 1, "i-1");
    RecordingListener queued = new RecordingListener(1);
    requestPlacement(queued);
    assertThat(queued.backend()).isEmpty();

    time.advance(SchedulerLink.SCHEDULER_TIMEOUT_MILLIS + 200);
    RecordingListener later = new RecordingListener(2);
    requestPlacement(later);

    assertThat(queued.backend()).isEqualTo("i-1");
    assertThat(later.backend()).isEqualTo("i-1");
  }

  @Test
  void a_request_is_placed_locally_if_the_scheduler_does_not_acknowledge_it() {
    publishView("control-1", 3, 1, "i-1");
    RecordingListener request = new RecordingListener(1);

    requestPlacement(request);
    time.advance(SchedulerLink.PLACEMENT_REPLY_TIMEOUT_MILLIS + 20);

    assertThat(request.backend()).isEqualTo("i-1");
  }

  @Test
  void a_request_that_the_scheduler_has_queued_is_not_placed_locally() {
    publishView("control-1", 3, 1, "i-1");
    RecordingListener request = new RecordingListener(1);
    requestPlacement(request);
    link.handle("control-1", currentOrders().addWaiting(1).build());

    time.advance(SchedulerLink.PLACEMENT_REPLY_TIMEOUT_MILLIS + 20);

    assertThat(request.backend()).isEmpty();
    assertThat(link.scheduler()).isEqualTo("control-1");
  }

  @Test
  void a_lost_placement_request_is_sent_again() {
    publishView("control-1", 3, 1, "i-1");
    requestPlacement(new RecordingListener(1));
    publishView("control-1", 3, 1, "i-1");

    time.advance(SchedulerLink.PLACEMENT_REPLY_TIMEOUT_MILLIS);

    assertThat(sent.stream().filter(Envelope::hasDispatchRequests).count()).isEqualTo(2);
    assertThat(link.scheduler()).isEqualTo("control-1");
  }

  @Test
  void decisions_of_an_earlier_term_are_ignored() {
    publishView("control-1", 3, 1, "i-1");
    publishView("control-2", 4, 1, "i-1");
    RecordingListener request = new RecordingListener(7);
    requestPlacement(request);

    link.handle(
        "control-1",
        currentOrders().addPlacements(Placement.newBuilder().setId(7).setBackend("i-1")).build());
    publishView("control-1", 3, 9, "i-9");

    assertThat(request.backend()).isEmpty();
    assertThat(link.backend("i-9")).isNull();
  }

  /** Guards against a server that was silent for a while and is then never used again. */
  @Test
  void a_backend_server_that_stopped_registering_is_known_again_once_it_registers() {
    publishView("control-1", 3, 1, "i-1", "i-2");

    link.handle("control-1", change(1).addExpired("i-1").build());
    assertThat(link.backendNames()).containsExactly("i-2");
    link.handle("control-1", change(2).addBackends(backend("i-1")).build());

    assertThat(link.backendNames()).containsExactly("i-1", "i-2");
  }

  private static SchedulerView.Builder change(long baseVersion) {
    return SchedulerView.newBuilder()
        .setTerm(3)
        .setBaseVersion(baseVersion)
        .setVersion(baseVersion + 1)
        .setGateways(1);
  }

  @Test
  void a_removed_backend_server_is_not_restored_by_an_older_list() {
    publishView("control-1", 3, 1, "i-1", "i-2");
    link.handle(
        "control-1",
        SchedulerView.newBuilder()
            .setTerm(3)
            .setBaseVersion(1)
            .setVersion(2)
            .addGone("i-1")
            .build());

    publishView("control-2", 4, 1, "i-1", "i-2");

    assertThat(link.backend("i-1")).isNull();
    assertThat(link.backend("i-2")).isNotNull();
  }

  @Test
  void the_full_status_is_sent_again_when_the_scheduler_asks_for_it() {
    publishView("control-1", 3, 1, "i-1");
    sent.clear();
    SchedulerView asking =
        SchedulerView.newBuilder().setTerm(3).setFullStatusRequested(true).build();

    link.handle("control-1", asking);
    assertThat(sent).isEmpty();
    time.advance(SchedulerLink.FULL_STATUS_INTERVAL_MILLIS);
    link.handle("control-1", asking);

    assertThat(lastStatus().getFull()).isTrue();
  }

  @Test
  void a_new_scheduler_receives_all_running_and_all_queued_requests() {
    publishView("control-1", 3, 1, "i-1");
    RecordingListener running = new RecordingListener(1);
    RecordingListener queued = new RecordingListener(2);
    requestPlacement(running);
    link.handle(
        "control-1",
        currentOrders().addPlacements(Placement.newBuilder().setId(1).setBackend("i-1")).build());
    requestPlacement(queued);
    sent.clear();

    link.handle("control-2", SchedulerView.newBuilder().setTerm(4).build());

    assertThat(lastStatus().getFull()).isTrue();
    assertThat(lastStatus().getOpenList())
        .extracting(dispatch -> dispatch.getAsk().getId())
        .contains(1L);
    assertThat(lastStatus().getOpenList())
        .allMatch(
            dispatch ->
                dispatch.getBackup().equals("i-2")
                    && dispatch.getMigrationTarget().equals("i-3")
                    && dispatch.getMigrationBackup().equals("i-4"));
    assertThat(lastStatus().getBackendsList()).hasSize(1);
    assertThat(sent.stream().filter(Envelope::hasDispatchRequests))
        .anyMatch(message -> message.getDispatchRequests().getAsks(0).getId() == 2);
  }

  private static SuspectRecord blockedPart(String part) {
    return SuspectRecord.newBuilder()
        .setService("plain")
        .setPart(part)
        .setBlocks(1)
        .setBlockedAgeMillis(10)
        .setBlockedLeftMillis(60_000)
        .build();
  }

  private static PlacementRequest requestWithPart(long id, String part) {
    return PlacementRequest.newBuilder()
        .setId(id)
        .setService("plain")
        .addParts(PromptPart.newBuilder().setId(part))
        .addParts(PromptPart.newBuilder().setId("own"))
        .build();
  }

  @Test
  void a_running_request_is_stopped_when_the_scheduler_says_so() {
    RecordingListener request = runningRequest(7);

    link.handle(
        "control-1",
        currentOrders()
            .addStops(Rejection.newBuilder().setId(7).setReason("CRASHES_BACKENDS"))
            .build());

    assertThat(request.stopReason).isEqualTo("CRASHES_BACKENDS");
  }

  @Test
  void blocked_parts_reach_the_gateway_its_local_fallback_and_the_next_scheduler() {
    publishView("control-1", 3, 1, "i-1");
    link.handle(
        "control-1",
        SchedulerView.newBuilder().setTerm(3).addCrashSuspects(blockedPart("bad")).build());
    assertThat(link.blockedMillis(requestWithPart(1, "bad"))).isPositive();
    assertThat(link.blockedMillis(requestWithPart(2, "good"))).isZero();
    assertThat(link.blockedPromptParts()).containsExactly("bad");

    time.advance(SchedulerLink.SCHEDULER_TIMEOUT_MILLIS + 200);
    assertThat(link.blockedMillis(requestWithPart(3, "bad"))).isPositive();

    link.handle("control-2", SchedulerView.newBuilder().setTerm(4).build());
    assertThat(lastStatus().getCrashSuspectsList())
        .extracting(SuspectRecord::getPart)
        .containsExactly("bad");
  }

  private static RecordingListener requestWithFingerprint(long id) {
    return new RecordingListener(
        PlacementRequest.newBuilder()
            .setId(id)
            .setService("plain")
            .setFingerprint(0xbadL)
            .setTargetLeftMillis(30_000)
            .setDeadlineLeftMillis(60_000)
            .build());
  }

  /** Publishes the view of a scheduler under which a server crashed on the fingerprint. */
  private void publishSuspect(int gateways) {
    SuspectRecord suspect =
        SuspectRecord.newBuilder()
            .setService("plain")
            .setFingerprint(0xbadL)
            .addCrashes(BackendCrash.newBuilder().setBackend("i-9").setAgeMillis(100))
            .build();
    link.handle(
        "control-1",
        SchedulerView.newBuilder()
            .setTerm(3)
            .setVersion(1)
            .setGateways(gateways)
            .addBackends(backend("i-1"))
            .addCrashSuspects(suspect)
            .build());
  }

  /** Guards against a suspect that each gateway runs by itself while none has a scheduler. */
  @Test
  void a_suspect_waits_for_a_scheduler_since_it_may_run_at_another_gateway() {
    publishSuspect(3);
    RecordingListener waiting = requestWithFingerprint(1);
    requestPlacement(waiting);
    time.advance(SchedulerLink.SCHEDULER_TIMEOUT_MILLIS + 200);
    RecordingListener later = requestWithFingerprint(2);
    requestPlacement(later);
    RecordingListener other = new RecordingListener(3);
    requestPlacement(other);
    assertThat(other.backend()).isEqualTo("i-1");
    assertThat(waiting.backend()).isEmpty();
    assertThat(later.backend()).isEmpty();
    sent.clear();

    link.handle("control-2", SchedulerView.newBuilder().setTerm(4).setGateways(3).build());

    assertThat(sent.stream().map(Envelope::getDispatchRequests))
        .flatExtracting(DispatchRequests::getAsksList)
        .extracting(PlacementRequest::getId)
        .containsExactly(1L, 2L);
  }

  /** Guards against a crash that nobody counts since the loss of the scheduler is noticed late. */
  @Test
  void a_crash_that_is_seen_before_the_loss_of_the_scheduler_is_noticed_is_told_to_the_next_one() {
    publishView("control-1", 3, 1, "i-1");
    RecordingListener request = requestWithFingerprint(1);
    requestPlacement(request);
    link.handle(
        "control-1",
        currentOrders().addPlacements(Placement.newBuilder().setId(1).setBackend("i-1")).build());
    time.suspend(SchedulerLink.SCHEDULER_TIMEOUT_MILLIS + 50);

    link.reportCrash("i-1");
    link.reportEnd(1, DispatchOutcome.DISPATCH_OUTCOME_CONNECTION_LOST, 0);
    link.handle("control-2", SchedulerView.newBuilder().setTerm(4).build());

    assertThat(lastStatus().getCrashSuspectsList())
        .extracting(SuspectRecord::getFingerprint)
        .containsExactly(0xbadL);
  }

  @Test
  void the_only_gateway_runs_a_suspect_on_one_server_at_a_time_without_a_scheduler() {
    publishSuspect(1);
    time.advance(SchedulerLink.SCHEDULER_TIMEOUT_MILLIS + 200);
    RecordingListener first = requestWithFingerprint(1);
    requestPlacement(first);
    RecordingListener second = requestWithFingerprint(2);
    requestPlacement(second);
    assertThat(first.backend()).isEqualTo("i-1");
    assertThat(second.backend()).isEmpty();

    link.reportEnd(1, DispatchOutcome.DISPATCH_OUTCOME_ANSWERED, 0);

    assertThat(second.backend()).isEqualTo("i-1");
  }

  @Test
  void a_crash_is_reported_to_the_scheduler_before_the_end_of_the_request() {
    publishView("control-1", 3, 1, "i-1");
    sent.clear();

    link.reportCrash("i-1");
    link.reportEnd(1, DispatchOutcome.DISPATCH_OUTCOME_FAILED, 0);

    assertThat(sent.getFirst().getDispatchRequests().getCrashedBackendsList())
        .containsExactly("i-1");
    assertThat(sent.get(1).getDispatchRequests().getEndsCount()).isEqualTo(1);
  }

  // ---- limits on requests
  // ------------------------------------------------------------------------

  private static SchedulerView limitsView(double requestsPerSecond, int gateways) {
    RateLimitList.Builder limits = RateLimitList.newBuilder();
    if (requestsPerSecond > 0) {
      limits.addLimits(
          RateLimitRecord.newBuilder().setBackend("i-1").setRequestsPerSecond(requestsPerSecond));
    }
    return SchedulerView.newBuilder()
        .setTerm(3)
        .setGateways(gateways)
        .setRateLimits(limits)
        .build();
  }

  private static BackendStatements stated(StatedRateLimit rateLimit) {
    return new BackendStatements(rateLimit, false, 0, List.of());
  }

  private List<BackendStatement> reportedStatements() {
    return sent.stream()
        .flatMap(message -> message.getDispatchRequests().getStatementsList().stream())
        .toList();
  }

  @Test
  void what_a_response_states_of_limits_reaches_the_scheduler_while_there_is_a_limit() {
    publishView("control-1", 3, 1, "i-1");
    sent.clear();

    link.reportStatements(1, "i-1", stated(new StatedRateLimit.None()), time.nowMillis());
    assertThat(reportedStatements()).isEmpty();
    link.reportStatements(
        2, "i-1", stated(new StatedRateLimit.RequestsPerSecond(3)), time.nowMillis());
    link.reportStatements(3, "i-1", stated(new StatedRateLimit.None()), time.nowMillis());

    assertThat(reportedStatements())
        .extracting(BackendStatement::getLimited)
        .containsExactly(true, false);
    assertThat(link.statedRateLimits()).containsEntry("i-1", 3.0);
    time.advance(600);
    publishView("control-1", 3, 2, "i-1");
    link.handle("control-1", limitsView(0, 1));
    assertThat(link.statedRateLimits()).isEmpty();
  }

  @Test
  void a_statement_that_is_no_limit_or_of_an_unknown_backend_server_changes_nothing() {
    publishView("control-1", 3, 1, "i-1");
    link.reportStatements(
        1, "i-1", stated(new StatedRateLimit.RequestsPerSecond(3)), time.nowMillis());
    sent.clear();

    link.reportStatements(2, "i-1", stated(new StatedRateLimit.Malformed("NaN")), time.nowMillis());
    link.reportStatements(
        3, "i-9", stated(new StatedRateLimit.RequestsPerSecond(3)), time.nowMillis());

    assertThat(reportedStatements()).isEmpty();
    assertThat(link.statedRateLimits()).hasSize(1).containsEntry("i-1", 3.0);
  }

  /** Lets the gateway place ten requests a second locally; returns how many were placed. */
  private long placeLocally(long firstId, long durationMillis) {
    List<RecordingListener> requests = new ArrayList<>();
    long id = firstId;
    for (long elapsedMillis = 0; elapsedMillis < durationMillis; elapsedMillis += 100) {
      RecordingListener request = new RecordingListener(id++, 600_000);
      requests.add(request);
      requestPlacement(request);
      time.advance(90);
      requests.stream()
          .filter(placed -> !placed.backend().isEmpty())
          .mapToLong(placed -> placed.placementRequest().getId())
          .forEach(
              placedId -> link.reportEnd(placedId, DispatchOutcome.DISPATCH_OUTCOME_ANSWERED, 0));
    }
    return requests.stream().filter(request -> !request.backend().isEmpty()).count();
  }

  @Test
  void a_gateway_in_local_fallback_uses_its_share_of_a_limit() {
    publishView("control-1", 3, 1, "i-1");
    link.handle("control-1", limitsView(4, 4));
    time.advance(SchedulerLink.SCHEDULER_TIMEOUT_MILLIS + 200);

    assertThat(placeLocally(1, 8_000)).isBetween(5L, 10L);
  }

  @Test
  void a_gateway_that_the_scheduler_lost_still_counts_in_the_others_shares() {
    publishView("control-1", 3, 1, "i-1");
    link.handle("control-1", limitsView(4, 4));
    link.handle("control-1", limitsView(4, 1));
    time.advance(SchedulerLink.SCHEDULER_TIMEOUT_MILLIS + 200);

    assertThat(placeLocally(1, 8_000)).isBetween(5L, 10L);
  }

  private void publishColdServer(long leftMillis) {
    ServiceSpec service = new ServiceSpec("plain", 100, null, new ColdStart(1, 4));
    link.activateCatalog(
        new Catalog(1, List.of(), List.of(service), RequestLimits.standard(), null));
    link.handle(
        "control-1",
        SchedulerView.newBuilder()
            .setTerm(3)
            .setVersion(1)
            .setGateways(4)
            .addBackends(backend("i-1").toBuilder().setColdLeftMillis(leftMillis))
            .build());
  }

  @Test
  void a_gateway_in_local_fallback_uses_its_share_of_the_cold_rate() {
    publishColdServer(20_000);
    time.advance(SchedulerLink.SCHEDULER_TIMEOUT_MILLIS + 200);

    assertThat(placeLocally(1, 8_000)).isBetween(4L, 9L);
  }

  @Test
  void the_next_scheduler_hears_the_cold_time_that_is_left() {
    publishColdServer(5_000);
    time.advance(2_000);

    link.handle("control-2", SchedulerView.newBuilder().setTerm(4).build());

    assertThat(lastStatus().getBackendsList())
        .extracting(BackendRecord::getColdLeftMillis)
        .containsExactly(3_000L);
  }

  @Test
  void the_next_scheduler_hears_the_limits() {
    publishView("control-1", 3, 1, "i-1");
    link.reportStatements(
        1, "i-1", stated(new StatedRateLimit.RequestsPerSecond(3)), time.nowMillis());

    link.handle("control-2", SchedulerView.newBuilder().setTerm(4).build());

    assertThat(lastStatus().getRateLimitsList())
        .extracting(RateLimitRecord::getRequestsPerSecond)
        .containsExactly(3.0);
  }

  // ---- load of backend servers
  // ------------------------------------------------------------------------------------

  private void stateLoad(String backend, int percent) {
    BackendStatements statements =
        new BackendStatements(
            new StatedRateLimit.None(), false, 0, new StatedLoad.Slowness(percent), List.of());
    link.reportStatements(1, backend, statements, time.nowMillis());
  }

  @Test
  void how_slow_a_machine_is_reaches_the_scheduler_at_most_every_200_ms() {
    publishView("control-1", 3, 1, "i-1", "i-2");
    sent.clear();

    for (int i = 0; i < 40; i++) {
      stateLoad("i-1", 250);
      time.advance(10);
    }
    stateLoad("i-2", 100);
    stateLoad("i-9", 300);

    assertThat(reportedStatements())
        .extracting(statement -> statement.getBackend() + " " + statement.getSlownessPercent())
        .containsExactly("i-1 250", "i-1 250", "i-2 100");
  }

  @Test
  void a_scheduler_much_later_hears_the_capacities_that_have_not_changed_since() {
    publishView("control-1", 3, 1, "i-1");
    LearntCapacity learnt =
        LearntCapacity.newBuilder().setBackend("i-1").setLightMicros(20_000).build();
    link.handle("control-1", SchedulerView.newBuilder().setTerm(3).addCapacities(learnt).build());
    time.advance(60_000);

    link.handle("control-2", SchedulerView.newBuilder().setTerm(4).build());

    assertThat(lastStatus().getCapacitiesList())
        .containsExactly(learnt.toBuilder().setAgeMillis(60_000).build());
  }

  @Test
  void the_next_scheduler_hears_the_learnt_capacities() {
    publishView("control-1", 3, 1, "i-1");
    link.handle(
        "control-1",
        SchedulerView.newBuilder()
            .setTerm(3)
            .addCapacities(
                LearntCapacity.newBuilder()
                    .setBackend("i-1")
                    .setLightMicros(20_000)
                    .setKneeRequests(2)
                    .setSlowdownPermille(300))
            .addCapacities(LearntCapacity.newBuilder().setBackend("i-9").setLightMicros(20_000))
            .build());

    link.handle("control-2", SchedulerView.newBuilder().setTerm(4).build());

    assertThat(lastStatus().getCapacitiesList())
        .extracting(LearntCapacity::getBackend)
        .containsExactly("i-1");
    assertThat(lastStatus().getCapacities(0).getLightMicros()).isBetween(15_000, 25_000);
  }

  // ---- suspended processes
  // -----------------------------------------------------------------------

  private static DispatchOrders placement(long id, String backend, long statusNumber) {
    return DispatchOrders.newBuilder()
        .setTerm(3)
        .setStatusNumber(statusNumber)
        .addPlacements(Placement.newBuilder().setId(id).setBackend(backend))
        .build();
  }

  @Test
  void a_placement_from_before_a_suspension_is_not_carried_out() {
    publishView("control-1", 3, 1, "i-1", "i-2");
    RecordingListener request = new RecordingListener(7);
    requestPlacement(request);

    time.suspend(5_000);
    link.handle("control-1", SchedulerView.newBuilder().setTerm(3).build());
    link.handle("control-1", placement(7, "i-1", 1));
    assertThat(request.backend()).isEmpty();

    link.handle("control-1", placement(7, "i-2", lastStatus().getNumber()));
    assertThat(request.backend()).isEqualTo("i-2");
  }

  @Test
  void a_placement_that_is_read_first_after_a_suspension_is_not_carried_out() {
    publishView("control-1", 3, 1, "i-1");
    RecordingListener request = new RecordingListener(7);
    requestPlacement(request);

    time.suspend(5_000);
    link.handle("control-1", placement(7, "i-9", 1));

    assertThat(request.backend()).isNotEqualTo("i-9");
    assertThat(link.scheduler()).isEmpty();
  }

  // ---- software versions ------------------------------------------------------------------------

  private static final long STREAM = 0x57L;

  private void publishVersions(Map<String, String> versionsById) {
    SchedulerView.Builder view = SchedulerView.newBuilder().setTerm(3).setVersion(1).setGateways(1);
    versionsById.forEach(
        (id, version) ->
            view.addBackends(backend(id).toBuilder().setSoftwareVersion(version).build()));
    link.handle("control-1", view.build());
  }

  private static RecordingListener resumption(long id, long stream) {
    return new RecordingListener(
        new RecordingListener(id)
            .placementRequest().toBuilder().setResumes(true).setResumedStream(stream).build());
  }

  private void loseScheduler(long forMillis) {
    link.disconnected("control-1");
    time.advance(forMillis);
  }

  private void forwardStream(String version) {
    RecordingListener request =
        new RecordingListener(
            new RecordingListener(7).placementRequest().toBuilder().setStream(STREAM).build());
    requestPlacement(request);
    request.streamVersion = version;
    link.reportProgress(7, 4);
    link.reportEnd(7, DispatchOutcome.DISPATCH_OUTCOME_CANCELLED, 4);
  }

  @Test
  void in_local_fallback_a_stream_that_this_gateway_forwarded_goes_on_at_its_version() {
    publishVersions(Map.of("i-1", "v1", "i-2", "v2"));
    forwardStream("v2");
    loseScheduler(5_000);

    RecordingListener resumption = resumption(8, STREAM);
    requestPlacement(resumption);

    assertThat(resumption.backend()).isEqualTo("i-2");
  }

  @Test
  void in_local_fallback_a_stream_of_another_gateway_is_placed_nowhere_where_versions_differ() {
    publishVersions(Map.of("i-1", "v1", "i-2", "v2"));
    loseScheduler(100);

    RecordingListener resumption = resumption(8, STREAM);
    requestPlacement(resumption);
    time.advance(5_000);

    assertThat(resumption.backend()).isEmpty();
    assertThat(resumption.rejectionReason).isEqualTo("STREAM_ORIGIN_UNKNOWN");
  }

  /** Guards against streams that are lost though the next scheduler knows what began them. */
  @Test
  void in_local_fallback_a_stream_of_another_gateway_waits_for_a_scheduler_that_may_know_it() {
    publishVersions(Map.of("i-1", "v1", "i-2", "v2"));
    loseScheduler(100);
    RecordingListener resumption = resumption(8, STREAM);
    requestPlacement(resumption);
    time.advance(200);
    sent.clear();

    link.handle("control-2", SchedulerView.newBuilder().setTerm(4).setGateways(1).build());

    assertThat(resumption.rejectionReason).isEmpty();
    assertThat(sent)
        .filteredOn(Envelope::hasDispatchRequests)
        .flatExtracting(message -> message.getDispatchRequests().getAsksList())
        .extracting(PlacementRequest::getId)
        .containsExactly(8L);
  }

  /** Guards against a guess from what little a gateway knows that has just started. */
  @Test
  void a_gateway_without_a_complete_list_of_servers_does_not_guess_the_version_of_a_stream() {
    link.handle("control-1", SchedulerView.newBuilder().setTerm(3).setGateways(1).build());
    loseScheduler(100);

    RecordingListener resumption = resumption(8, STREAM);
    requestPlacement(resumption);
    time.advance(5_000);

    assertThat(resumption.backend()).isEmpty();
    assertThat(resumption.rejectionReason).isEqualTo("STREAM_ORIGIN_UNKNOWN");
  }

  @Test
  void a_gateway_that_was_cut_off_for_long_does_not_rely_on_the_one_version_that_it_knows() {
    publishVersions(Map.of("i-1", "v1"));
    loseScheduler(5_000);
    RecordingListener resumption = resumption(8, STREAM);
    requestPlacement(resumption);
    time.advance(2_000);

    assertThat(resumption.backend()).isEmpty();
    assertThat(resumption.rejectionReason).isEqualTo("STREAM_ORIGIN_UNKNOWN");
  }

  /** Guards against streams that are lost though the next scheduler would let them go on. */
  @Test
  void a_stream_of_unknown_origin_goes_on_at_the_next_scheduler() {
    publishVersions(Map.of("i-1", "v1"));
    loseScheduler(100);
    RecordingListener resumption = resumption(8, STREAM);
    requestPlacement(resumption);
    time.advance(200);
    sent.clear();

    link.handle("control-2", SchedulerView.newBuilder().setTerm(4).setGateways(1).build());

    assertThat(resumption.rejectionReason).isEmpty();
    assertThat(sent)
        .filteredOn(Envelope::hasDispatchRequests)
        .flatExtracting(message -> message.getDispatchRequests().getAsksList())
        .extracting(PlacementRequest::getId)
        .containsExactly(8L);
  }

  /** Guards against streams that are lost since an election takes longer than usual. */
  @Test
  void a_stream_with_time_left_waits_for_a_scheduler_that_is_late() {
    publishVersions(Map.of("i-1", "v1"));
    loseScheduler(2_500);
    PlacementRequest.Builder request = resumption(8, STREAM).placementRequest().toBuilder();
    RecordingListener resumption =
        new RecordingListener(
            request.setTargetLeftMillis(30_000).setDeadlineLeftMillis(60_000).build());
    requestPlacement(resumption);
    time.advance(1_000);

    assertThat(resumption.rejectionReason).isEmpty();
    assertThat(resumption.backend()).isEmpty();
  }

  /** Guards against callers that give up a stream which the next scheduler would let go on. */
  @Test
  void a_stream_that_only_a_scheduler_can_let_go_on_is_rejected_for_now() {
    publishVersions(Map.of("i-1", "v1"));
    loseScheduler(10_000);
    RecordingListener resumption = resumption(8, STREAM);
    requestPlacement(resumption);

    assertThat(resumption.rejectionReason).isEqualTo("STREAM_ORIGIN_UNKNOWN");
    assertThat(resumption.retryAfterMillis).isPositive();
  }

  @Test
  void a_stream_that_no_scheduler_will_let_go_on_is_rejected_for_good() {
    publishVersions(Map.of("i-1", "v1", "i-2", "v2"));
    loseScheduler(10_000);
    RecordingListener resumption = resumption(8, 0);
    requestPlacement(resumption);

    assertThat(resumption.rejectionReason).isEqualTo("STREAM_ORIGIN_UNKNOWN");
    assertThat(resumption.retryAfterMillis).isZero();
  }

  /** Guards against a stream that goes on at another version of which a gateway has not heard. */
  @Test
  void a_gateway_that_lost_its_scheduler_does_not_rely_on_the_one_version_that_it_knows() {
    publishVersions(Map.of("i-1", "v1"));
    loseScheduler(100);
    RecordingListener resumption = resumption(8, STREAM);
    requestPlacement(resumption);
    time.advance(2_000);

    assertThat(resumption.backend()).isEmpty();
    assertThat(resumption.rejectionReason).isEqualTo("STREAM_ORIGIN_UNKNOWN");
  }

  /**
   * Guards against a message that was held up on the way and counts as knowledge of the present.
   */
  @Test
  void a_message_that_is_read_late_does_not_make_the_known_versions_complete() {
    publishVersions(Map.of("i-1", "v1"));
    time.suspend(5_000);
    link.handle("control-1", SchedulerView.newBuilder().setTerm(3).build());
    loseScheduler(100);
    RecordingListener resumption = resumption(8, STREAM);
    requestPlacement(resumption);
    time.advance(2_000);

    assertThat(resumption.backend()).isEmpty();
    assertThat(resumption.rejectionReason).isEqualTo("STREAM_ORIGIN_UNKNOWN");
  }

  @Test
  void a_new_scheduler_hears_of_the_streams_that_this_gateway_forwarded_and_of_past_versions() {
    publishVersions(Map.of("i-1", "v1", "i-2", "v2"));
    forwardStream("v2");
    link.handle(
        "control-1",
        SchedulerView.newBuilder()
            .setTerm(3)
            .setVersion(2)
            .setBaseVersion(1)
            .addGone("i-1")
            .build());

    publishView("control-2", 4, 1, "i-2");

    assertThat(lastStatus().getStreamOriginsList())
        .extracting(StreamOrigin::getStream, StreamOrigin::getSoftwareVersion)
        .containsExactly(tuple(STREAM, "v2"));
    assertThat(lastStatus().getServedVersionsList())
        .extracting(ServedVersion::getSoftwareVersion)
        .contains("v1", "v2");
  }

  // ---- statements that a backend server leaves --------------------------------------------------

  private static final BackendStatements LEAVING =
      new BackendStatements(new StatedRateLimit.None(), true, 0, List.of());

  @Test
  void a_server_that_states_that_it_leaves_is_reported_and_refused_at_once() {
    publishView("control-1", 3, 1, "i-1", "i-2");

    link.reportStatements(1, "i-1", LEAVING, time.nowMillis());
    link.reportStatements(2, "i-1", LEAVING, time.nowMillis());

    assertThat(link.isRefusing("i-1")).isTrue();
    assertThat(link.isRefusing("i-2")).isFalse();
    assertThat(reportedStatements())
        .filteredOn(BackendStatement::getLeaving)
        .extracting(BackendStatement::getBackend)
        .containsExactly("i-1");
  }

  @Test
  void a_later_list_of_the_scheduler_does_not_lift_what_a_server_stated_of_itself() {
    publishView("control-1", 3, 1, "i-1", "i-2");
    link.reportStatements(1, "i-1", LEAVING, time.nowMillis());
    publishView("control-2", 4, 1, "i-1", "i-2");

    assertThat(lastStatus().getBackendsList())
        .filteredOn(BackendRecord::getLeaving)
        .extracting(BackendRecord::getId)
        .containsExactly("i-1");
    assertThat(link.isRefusing("i-1")).isTrue();
  }

  @Test
  void in_local_fallback_a_server_that_states_that_it_leaves_gets_no_request() {
    publishView("control-1", 3, 1, "i-1", "i-2");
    loseScheduler(100);
    RecordingListener first = new RecordingListener(1);
    requestPlacement(first);

    link.reportStatements(1, first.backend(), LEAVING, time.nowMillis());

    for (int id = 2; id < 6; id++) {
      RecordingListener next = new RecordingListener(id);
      requestPlacement(next);
      assertThat(next.backend()).isNotEmpty().isNotEqualTo(first.backend());
      link.reportEnd(id, DispatchOutcome.DISPATCH_OUTCOME_ANSWERED, 0);
    }
  }

  // ---- servers that rest ------------------------------------------------------------------------

  private static BackendStatements rest(long restMillis) {
    return new BackendStatements(new StatedRateLimit.None(), false, restMillis, List.of());
  }

  @Test
  void a_server_that_rests_is_refused_until_its_time_is_over() {
    publishView("control-1", 3, 1, "i-1", "i-2");

    link.reportStatements(1, "i-1", rest(3_000), time.nowMillis());

    assertThat(link.isRefusing("i-1")).isTrue();
    assertThat(reportedStatements())
        .extracting(BackendStatement::getRestMillis)
        .containsExactly(3_000L);
    time.advance(2_990);
    assertThat(link.isRefusing("i-1")).isTrue();
    time.advance(10);
    assertThat(link.isRefusing("i-1")).isFalse();
  }

  @Test
  void the_longest_stated_rest_holds_whichever_statement_is_read_last() {
    publishView("control-1", 3, 1, "i-1");
    link.reportStatements(1, "i-1", rest(30_000), time.nowMillis());
    link.reportStatements(2, "i-1", rest(500), time.nowMillis());

    time.advance(29_990);
    assertThat(link.isRefusing("i-1")).isTrue();
    time.advance(10);

    assertThat(link.isRefusing("i-1")).isFalse();
  }

  @Test
  void a_new_scheduler_hears_which_servers_rest_for_this_gateway() {
    publishView("control-1", 3, 1, "i-1");
    link.reportStatements(1, "i-1", rest(3_000), time.nowMillis());
    time.advance(1_000);

    publishView("control-2", 4, 1, "i-1");

    assertThat(lastStatus().getRestsList())
        .extracting(RestRecord::getBackend, RestRecord::getLeftMillis)
        .containsExactly(tuple("i-1", 2_000L));
  }

  // ---- decisions for another state --------------------------------------------------------------

  private DispatchOrders.Builder currentOrders() {
    return DispatchOrders.newBuilder().setTerm(3).setStatusNumber(lastStatus().getNumber());
  }

  private RecordingListener runningRequest(long id) {
    publishView("control-1", 3, 1, "i-1", "i-2");
    RecordingListener request = new RecordingListener(id);
    requestPlacement(request);
    link.handle("control-1", placement(id, "i-1", lastStatus().getNumber()));
    return request;
  }

  private void reject(long id, long statusNumber) {
    link.handle(
        "control-1",
        DispatchOrders.newBuilder()
            .setTerm(3)
            .setStatusNumber(statusNumber)
            .addRefusals(Rejection.newBuilder().setId(id).setReason("NO_ROOM_IN_TIME"))
            .build());
  }

  /** Guards against a promise that a request did not run while it runs. */
  @Test
  void a_rejection_of_a_request_that_runs_is_ignored() {
    RecordingListener request = runningRequest(7);

    reject(7, lastStatus().getNumber());

    assertThat(request.rejectionReason).isEmpty();
  }

  private long fullStatuses() {
    return sent.stream()
        .filter(Envelope::hasGatewayStatus)
        .filter(message -> message.getGatewayStatus().getFull())
        .count();
  }

  @Test
  void a_scheduler_that_rejects_a_request_that_runs_gets_the_state_at_most_every_400_ms() {
    runningRequest(7);
    time.advance(SchedulerLink.FULL_STATUS_INTERVAL_MILLIS - 20);
    publishView("control-1", 3, 1);
    sent.clear();

    reject(7, 1);
    reject(7, 1);
    assertThat(fullStatuses()).isZero();
    time.advance(20);

    assertThat(fullStatuses()).isEqualTo(1);
    assertThat(lastStatus().getOpenList())
        .extracting(dispatch -> dispatch.getAsk().getId(), RunningDispatch::getBackend)
        .containsExactly(tuple(7L, "i-1"));
    assertThat(link.counters().ignored(LinkCounters.Reason.RUNS_ALREADY)).isEqualTo(2);
  }

  @Test
  void a_placement_that_is_told_again_changes_nothing() {
    RecordingListener request = runningRequest(7);
    time.advance(SchedulerLink.FULL_STATUS_INTERVAL_MILLIS);
    sent.clear();

    link.handle("control-1", placement(7, "i-1", 1));
    time.advance(100);

    assertThat(request.placements).isEqualTo(1);
    assertThat(sent).isEmpty();
  }

  @Test
  void a_scheduler_that_places_a_request_that_has_ended_hears_that_it_does_not_run() {
    runningRequest(7);
    link.reportEnd(7, DispatchOutcome.DISPATCH_OUTCOME_ANSWERED, 0);
    sent.clear();

    link.handle("control-1", placement(7, "i-1", 1));

    assertThat(sent.getLast().getDispatchRequests().getEndsList())
        .extracting(DispatchEnd::getId)
        .containsExactly(7L);
  }

  @Test
  void a_stop_of_a_request_that_waits_is_ignored() {
    publishView("control-1", 3, 1, "i-1");
    RecordingListener request = new RecordingListener(7);
    requestPlacement(request);

    link.handle(
        "control-1",
        currentOrders()
            .addStops(Rejection.newBuilder().setId(7).setReason("CRASHES_BACKENDS"))
            .build());

    assertThat(request.stopReason).isEmpty();
    assertThat(link.counters().ignored(LinkCounters.Reason.NOT_RUNNING)).isEqualTo(1);
  }

  /** Guards against decisions for a state that the scheduler does not know of. */
  @Test
  void decisions_without_the_number_of_the_latest_full_status_are_ignored() {
    publishView("control-1", 3, 1, "i-1");
    RecordingListener request = new RecordingListener(7);
    requestPlacement(request);

    link.handle("control-1", placement(7, "i-1", 0));

    assertThat(request.backend()).isEmpty();
    assertThat(link.counters().ignored(LinkCounters.Reason.EARLIER_STATUS)).isEqualTo(1);
  }

  /** Guards against a scheduler whose decisions are ignored for good since a status was lost. */
  @Test
  void a_scheduler_that_decides_on_from_an_earlier_state_gets_the_full_status_again() {
    publishView("control-1", 3, 1, "i-1");
    requestPlacement(new RecordingListener(7));
    for (long waited = 0; waited < SchedulerLink.STATUS_LOST_MILLIS; waited += 100) {
      publishView("control-1", 3, 1);
      time.advance(100);
    }
    publishView("control-1", 3, 1);
    sent.clear();

    link.handle("control-1", placement(7, "i-1", 0));
    time.advance(20);

    assertThat(fullStatuses()).isEqualTo(1);
  }

  /** Tells the scheduler of a crash under a request, which ends with it. */
  private void crashUnderRequest() {
    publishView("control-1", 3, 1, "i-1", "i-2");
    RecordingListener request =
        new RecordingListener(
            PlacementRequest.newBuilder()
                .setId(7)
                .setService("plain")
                .setFingerprint(0xbadL)
                .setTargetLeftMillis(500)
                .setDeadlineLeftMillis(3_000)
                .build());
    requestPlacement(request);
    link.handle(
        "control-1",
        currentOrders().addPlacements(Placement.newBuilder().setId(7).setBackend("i-1")).build());
    link.reportCrash("i-1");
    link.reportEnd(7, DispatchOutcome.DISPATCH_OUTCOME_CONNECTION_LOST, 0);
  }

  /** Hears from the scheduler for longer than reports of crashes are kept. */
  private void giveSchedulerTimeToCount() {
    for (int i = 0; i < 11; i++) {
      time.advance(200);
      publishView("control-1", 3, 1, "i-1", "i-2");
    }
  }

  private List<String> crashesToldTo(String scheduler, long newTerm) {
    publishView(scheduler, newTerm, 1, "i-1", "i-2");
    return lastStatus().getCrashSuspectsList().stream()
        .filter(suspect -> suspect.getFingerprint() == 0xbadL)
        .flatMap(suspect -> suspect.getCrashesList().stream())
        .map(BackendCrash::getBackend)
        .toList();
  }

  /** Guards against one more crash under a request whose crash was told to a lost leader. */
  @Test
  void a_crash_that_was_told_to_a_scheduler_lost_since_is_told_to_the_next() {
    crashUnderRequest();

    link.disconnected("control-1");

    assertThat(crashesToldTo("control-2", 4)).containsExactly("i-1");
  }

  @Test
  void a_crash_that_was_told_to_a_scheduler_replaced_since_is_told_to_the_next() {
    crashUnderRequest();

    assertThat(crashesToldTo("control-2", 4)).containsExactly("i-1");
  }

  /** Guards against a verdict of the scheduler that is undone when the scheduler changes later. */
  @Test
  void a_crash_that_the_scheduler_has_had_time_to_count_is_not_told_again() {
    crashUnderRequest();
    giveSchedulerTimeToCount();

    assertThat(crashesToldTo("control-2", 4)).isEmpty();
  }

  /** Guards against a suspect that counts as such again although it was served since. */
  @Test
  void a_crash_before_a_sound_run_of_the_request_is_not_told_to_the_next_scheduler() {
    crashUnderRequest();
    time.advance(200);
    SuspectRecord served =
        SuspectRecord.newBuilder()
            .setService("plain")
            .setFingerprint(0xbadL)
            .setHadOutput(true)
            .setOutputAgeMillis(100)
            .build();
    link.handle(
        "control-1",
        SchedulerView.newBuilder()
            .setTerm(3)
            .setVersion(1)
            .setGateways(3)
            .addCrashSuspects(served)
            .build());
    time.advance(200);

    assertThat(crashesToldTo("control-2", 4)).isEmpty();
  }

  /** Guards against a verdict of a living scheduler that a gateway takes back. */
  @Test
  void a_crash_is_not_counted_again_when_the_same_scheduler_asks_for_the_full_status() {
    crashUnderRequest();
    time.advance(1_000);

    link.handle(
        "control-1",
        SchedulerView.newBuilder()
            .setTerm(3)
            .setVersion(1)
            .setGateways(3)
            .setFullStatusRequested(true)
            .build());

    assertThat(lastStatus().getCrashSuspectsList()).isEmpty();
  }

  /** Guards against the loss of a rack that makes a suspect of what ran on each of its servers. */
  @Test
  void crashes_with_one_cause_count_once_when_they_are_told_to_the_next_scheduler() {
    publishView("control-1", 3, 1, "i-1", "i-2", "i-3");
    List<String> servers = List.of("i-1", "i-2", "i-3");
    for (int number = 0; number < servers.size(); number++) {
      requestPlacement(requestWithFingerprint(number));
      link.handle(
          "control-1",
          currentOrders()
              .addPlacements(Placement.newBuilder().setId(number).setBackend(servers.get(number)))
              .build());
    }
    time.advance(300);
    for (int number = 0; number < servers.size(); number++) {
      link.reportCrash(servers.get(number));
      link.reportEnd(number, DispatchOutcome.DISPATCH_OUTCOME_CONNECTION_LOST, 0);
      time.advance(10);
    }

    assertThat(crashesToldTo("control-2", 4)).hasSize(1);
  }

  /** Guards against a gateway without a scheduler that counts a crash of long ago again. */
  @Test
  void a_crash_that_the_scheduler_has_had_time_to_count_is_not_counted_without_a_scheduler() {
    crashUnderRequest();
    giveSchedulerTimeToCount();

    link.disconnected("control-1");

    assertThat(crashesToldTo("control-2", 4)).isEmpty();
  }
}
