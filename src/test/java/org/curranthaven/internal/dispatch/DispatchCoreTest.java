package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.catalog.Repeatability;
import org.curranthaven.internal.catalog.RequestLimits;
import org.curranthaven.internal.catalog.Route;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.curranthaven.internal.catalog.ServiceWeight;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.curranthaven.internal.transport.wire.RunningDispatch;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class DispatchCoreTest {
  private static final int MEMORY_TOKENS = 10_000;

  private final DispatchCore core =
      new DispatchCore(new RetryLimits(0.2, 10, 10_000), 1, new SplittableRandom(1));
  private Catalog catalog = Catalog.empty();
  private long nextId = 1;

  @BeforeEach
  void setCatalog() {
    EngineCapabilities engine = new EngineCapabilities(8, MEMORY_TOKENS, 4, true, true);
    Route route =
        new Route(
            "drafts",
            "stories.example",
            "/drafts/",
            Repeatability.STREAM,
            30_000,
            1_500,
            180,
            1,
            1,
            false,
            false,
            List.of(new ServiceWeight("engines", 1)));
    catalog =
        new Catalog(
            1,
            List.of(route),
            List.of(new ServiceSpec("engines", 100, engine), new ServiceSpec("plain", 100, null)),
            RequestLimits.standard(),
            null);
    core.setCatalog(catalog);
  }

  private static BackendRecord backend(String id, String service) {
    return BackendRecord.newBuilder()
        .setId(id)
        .setService(service)
        .setSoftwareVersion("v1")
        .setAddress("10.0.0.1:80")
        .setDataCentre("a")
        .setSlots(4)
        .setSequence(1)
        .build();
  }

  /** Returns a backend server that is warming up, so that requests go to others first. */
  private static BackendRecord warmingUp(String id) {
    return backend(id, "engines").toBuilder().setColdLeftMillis(60_000).build();
  }

  private static BackendRecord leaving(String id) {
    return backend(id, "engines").toBuilder().setLeaving(true).setSequence(9).build();
  }

  private RequestId submit(PlacementRequest.Builder request, long nowMillis) {
    RequestId requestId = new RequestId("gateway", nextId++);
    core.submit(requestId, request.setId(requestId.id()).build(), nowMillis);
    return requestId;
  }

  private static PlacementRequest.Builder draftRequest(int promptTokens, int outputTokens) {
    return PlacementRequest.newBuilder()
        .setService("engines")
        .setRoute("drafts")
        .setPriority(1)
        .setPromptTokens(promptTokens)
        .setMaxOutputTokens(outputTokens)
        .setHintedOutputTokens(outputTokens)
        .setTargetLeftMillis(1_500)
        .setDeadlineLeftMillis(30_000)
        .setDataCentre("a")
        .setEngine(true);
  }

  private static PlacementRequest.Builder plainRequest() {
    return PlacementRequest.newBuilder()
        .setService("plain")
        .setRoute("pages")
        .setTargetLeftMillis(400)
        .setDeadlineLeftMillis(3_000)
        .setDataCentre("a");
  }

  private DispatchDecision onlyDecision() {
    List<DispatchDecision> decisions = core.drainDecisions();
    assertThat(decisions).hasSize(1);
    return decisions.getFirst();
  }

  @Test
  void a_request_is_placed_on_the_engine_with_the_fewest_pending_prompt_tokens() {
    core.updateBackend(backend("x", "engines"), 0);
    core.updateBackend(backend("y", "engines"), 0);
    submit(draftRequest(3_000, 400), 0);
    DispatchDecision.Place first = (DispatchDecision.Place) onlyDecision();
    submit(draftRequest(1_000, 100), 1);
    DispatchDecision.Place second = (DispatchDecision.Place) onlyDecision();

    assertThat(second.backend()).isNotEqualTo(first.backend());
  }

  @Test
  void a_request_is_queued_while_memory_is_full_and_placed_once_memory_is_free() {
    core.updateBackend(backend("x", "engines"), 0);
    RequestId first = submit(draftRequest(6_000, 100), 0);
    onlyDecision();
    RequestId second = submit(draftRequest(6_000, 100).setTargetLeftMillis(4_000), 1);
    assertThat(core.drainDecisions()).isEmpty();

    core.requestEnded(first, DispatchOutcome.DISPATCH_OUTCOME_ANSWERED, 100, 300);

    assertThat(onlyDecision()).isEqualTo(new DispatchDecision.Place(second, "x", 1, ""));
  }

  @Test
  void a_request_that_cannot_meet_its_due_time_is_rejected_at_once_with_a_retry_delay() {
    core.updateBackend(backend("x", "engines"), 0);
    submit(draftRequest(6_000, 3_000), 0);
    onlyDecision();

    RequestId late = submit(draftRequest(6_000, 100), 1);

    DispatchDecision.Reject rejection = (DispatchDecision.Reject) onlyDecision();
    assertThat(rejection.requestId()).isEqualTo(late);
    assertThat(rejection.reason()).isEqualTo(RejectionReason.NO_ROOM_IN_TIME);
    assertThat(rejection.retryAfterMillis()).isBetween(10_000L, 15_000L);
  }

  @Test
  void a_queued_request_is_rejected_once_it_cannot_meet_its_due_time() {
    core.updateBackend(backend("x", "engines"), 0);
    submit(draftRequest(6_000, 60), 0);
    onlyDecision();
    submit(draftRequest(6_000, 100).setTargetLeftMillis(4_000), 1);
    assertThat(core.drainDecisions()).isEmpty();

    core.tick(4_000);

    assertThat(onlyDecision()).isInstanceOf(DispatchDecision.Reject.class);
    assertThat(core.queuedRequests()).isZero();
  }

  @Test
  void a_request_is_queued_until_fewer_pending_prompt_tokens_let_it_meet_its_due_time() {
    core.updateBackend(backend("x", "engines"), 0);
    RequestId processingPrompt = submit(draftRequest(3_000, 100), 0);
    onlyDecision();
    RequestId second = submit(draftRequest(3_000, 100).setTargetLeftMillis(1_500), 1);
    assertThat(core.drainDecisions()).isEmpty();

    core.outputProgressed(processingPrompt, 4, 400);

    assertThat(onlyDecision()).isEqualTo(new DispatchDecision.Place(second, "x", 1, ""));
  }

  @Test
  void a_request_queued_behind_pending_prompts_does_not_block_one_with_a_later_due_time() {
    core.updateBackend(backend("x", "engines"), 0);
    submit(draftRequest(3_000, 100), 0);
    onlyDecision();
    submit(draftRequest(3_000, 100).setTargetLeftMillis(1_500), 1);
    RequestId laterDue = submit(draftRequest(3_000, 100).setTargetLeftMillis(2_000), 2);

    core.tick(10);

    assertThat(((DispatchDecision.Place) onlyDecision()).requestId()).isEqualTo(laterDue);
  }

  @Test
  void a_request_that_will_be_late_is_placed_if_no_request_is_queued_for_the_capacity() {
    core.updateBackend(backend("x", "engines"), 0);
    submit(draftRequest(7_500, 100).setTargetLeftMillis(5_000), 0);
    onlyDecision();

    RequestId late = submit(draftRequest(1_000, 100).setTargetLeftMillis(100), 1);

    assertThat(((DispatchDecision.Place) onlyDecision()).requestId()).isEqualTo(late);
  }

  @Test
  void a_request_that_will_be_late_leaves_scarce_capacity_to_queued_requests() {
    core.updateBackend(backend("x", "engines"), 0);
    submit(draftRequest(7_500, 100).setTargetLeftMillis(5_000), 0);
    onlyDecision();
    submit(draftRequest(3_000, 100).setTargetLeftMillis(5_000), 1);

    submit(draftRequest(1_000, 100).setTargetLeftMillis(100), 2);

    assertThat(onlyDecision()).isInstanceOf(DispatchDecision.Reject.class);
  }

  @Test
  void no_request_is_placed_late_while_the_engines_are_overloaded() {
    core.updateBackend(backend("x", "engines"), 0);
    for (int i = 0; i < 10; i++) {
      submit(draftRequest(9_500, 100).setTargetLeftMillis(100), 0);
    }
    core.drainDecisions();
    core.removeGateway("gateway", 10);

    submit(draftRequest(1_000, 100).setTargetLeftMillis(100), 20);

    assertThat(onlyDecision()).isInstanceOf(DispatchDecision.Reject.class);
  }

  @Test
  void a_long_output_goes_to_the_faster_of_two_engines() {
    core.updateBackend(backend("slow", "engines"), 0);
    core.updateBackend(backend("fast", "engines"), 0);
    for (int i = 0; i < 20; i++) {
      report("slow", 100 + i, 3_000);
      report("fast", 200 + i, 800);
    }

    submit(draftRequest(1_000, 2_000), 20_000);

    assertThat(((DispatchDecision.Place) onlyDecision()).backend()).isEqualTo("fast");
  }

  /** Runs a request that outputs 100 tokens on an engine within the given time. */
  private void report(String engine, long id, long elapsedMillis) {
    RequestId requestId = new RequestId("gateway", id);
    restore(draftRequest(100, 500).setId(id).build(), engine, "", "");
    core.outputProgressed(requestId, 44, 1_000);
    core.outputProgressed(requestId, 144, 1_000 + elapsedMillis);
    core.requestEnded(requestId, DispatchOutcome.DISPATCH_OUTCOME_ANSWERED, 144, 5_000);
  }

  @Test
  void a_request_that_fits_no_engine_is_rejected_at_once_and_holds_up_no_other() {
    core.updateBackend(backend("x", "engines"), 0);
    submit(draftRequest(6_000, 100), 0);
    core.drainDecisions();

    submit(draftRequest(MEMORY_TOKENS, 100).setTargetLeftMillis(9_000), 1);
    DispatchDecision.Reject rejection = (DispatchDecision.Reject) onlyDecision();
    RequestId next = submit(draftRequest(1_000, 100).setTargetLeftMillis(9_000), 2);

    assertThat(rejection.reason()).isEqualTo(RejectionReason.TOO_LARGE);
    assertThat(((DispatchDecision.Place) onlyDecision()).requestId()).isEqualTo(next);
  }

  @Test
  void slow_first_replies_lead_to_earlier_rejections() {
    core.updateBackend(backend("x", "engines"), 0);
    for (int i = 0; i < 80; i++) {
      RequestId requestId = submit(draftRequest(1_000, 8), i * 1_000L);
      core.outputProgressed(requestId, 4, i * 1_000L + 500);
      core.requestEnded(requestId, DispatchOutcome.DISPATCH_OUTCOME_ANSWERED, 8, i * 1_000L + 600);
    }
    long nowMillis = 100_000;
    RequestId large = submit(draftRequest(6_300, 100).setTargetLeftMillis(9_000), nowMillis);
    core.outputProgressed(large, 4, nowMillis + 3_000);
    submit(draftRequest(6_000, 100).setTargetLeftMillis(20_000), nowMillis + 3_000);
    core.drainDecisions();

    submit(draftRequest(2_900, 100).setPriority(0), nowMillis + 3_001);

    assertThat(onlyDecision()).isInstanceOf(DispatchDecision.Reject.class);
  }

  @Test
  void hosts_in_local_fallback_do_not_all_choose_the_same_engine() {
    Set<String> chosen = new HashSet<>();
    for (int seed = 0; seed < 20; seed++) {
      DispatchCore localCore =
          new DispatchCore(new RetryLimits(0.2, 10, 10_000), 20, new SplittableRandom(seed));
      localCore.setCatalog(catalog);
      for (String id : List.of("x", "y", "z")) {
        localCore.updateBackend(backend(id, "engines"), 0);
      }
      localCore.submit(new RequestId("gateway", 1), draftRequest(3_000, 100).build(), 0);
      chosen.add(((DispatchDecision.Place) localCore.drainDecisions().getFirst()).backend());
    }

    assertThat(chosen).hasSize(3);
  }

  @Test
  void a_more_urgent_request_overtakes_queued_requests() {
    core.updateBackend(backend("x", "engines"), 0);
    RequestId running = submit(draftRequest(8_500, 100), 0);
    onlyDecision();
    submit(draftRequest(6_000, 100).setTargetLeftMillis(9_000), 1);
    RequestId urgent =
        submit(draftRequest(6_000, 100).setPriority(0).setTargetLeftMillis(9_000), 2);
    core.drainDecisions();

    core.requestEnded(running, DispatchOutcome.DISPATCH_OUTCOME_ANSWERED, 100, 500);

    assertThat(((DispatchDecision.Place) onlyDecision()).requestId()).isEqualTo(urgent);
  }

  @Test
  void a_leaving_backend_server_gets_no_new_request() {
    core.updateBackend(backend("x", "engines"), 0);
    core.updateBackend(leaving("x"), 10);

    submit(draftRequest(100, 10), 20);

    assertThat(core.drainDecisions()).isEmpty();
  }

  @Test
  void requests_on_a_leaving_engine_are_migrated_one_at_a_time() {
    core.updateBackend(backend("x", "engines"), 0);
    RequestId smaller = submit(draftRequest(1_000, 2_000), 0);
    RequestId larger = submit(draftRequest(1_500, 2_000), 0);
    core.drainDecisions();
    core.outputProgressed(smaller, 4, 100);
    core.outputProgressed(larger, 4, 100);
    core.updateBackend(backend("y", "engines"), 150);

    core.updateBackend(leaving("x"), 200);
    DispatchDecision first = onlyDecision();
    core.requestEnded(smaller, DispatchOutcome.DISPATCH_OUTCOME_MOVED, 8, 500);
    DispatchDecision second = onlyDecision();

    assertThat(first).isEqualTo(new DispatchDecision.Migrate(smaller, "y", ""));
    assertThat(second).isEqualTo(new DispatchDecision.Migrate(larger, "y", ""));
  }

  @Test
  void a_migration_that_its_target_rejected_is_tried_at_another_engine() {
    core.updateBackend(backend("x", "engines"), 0);
    RequestId running = submit(draftRequest(1_000, 2_000), 0);
    core.outputProgressed(running, 4, 100);
    core.updateBackend(backend("y", "engines"), 150);
    core.updateBackend(backend("z", "engines"), 150);
    core.drainDecisions();

    core.updateBackend(leaving("x"), 200);
    String first = ((DispatchDecision.Migrate) onlyDecision()).target();
    core.requestEnded(running, DispatchOutcome.DISPATCH_OUTCOME_MOVE_FAILED, 0, 210);
    String second = ((DispatchDecision.Migrate) onlyDecision()).target();

    assertThat(List.of(first, second)).containsExactlyInAnyOrder("y", "z");
  }

  @Test
  void an_irreplaceable_request_gets_a_backup_copy_on_another_engine_with_free_memory() {
    core.updateBackend(backend("x", "engines"), 0);
    core.updateBackend(backend("y", "engines"), 0);

    submit(draftRequest(1_000, 400).setIrreplaceable(true), 0);

    DispatchDecision.Place placement = (DispatchDecision.Place) onlyDecision();
    assertThat(placement.backup()).isNotEmpty().isNotEqualTo(placement.backend());
  }

  @Test
  void backup_copies_use_at_most_half_the_memory_of_an_idle_engine() {
    core.updateBackend(backend("x", "engines"), 0);
    core.updateBackend(warmingUp("idle"), 0);
    for (int i = 0; i < 7; i++) {
      core.outputProgressed(submit(draftRequest(1_200, 200).setIrreplaceable(true), i), 4, i);
    }

    long backupCopies =
        core.drainDecisions().stream()
            .filter(decision -> decision instanceof DispatchDecision.Place)
            .filter(decision -> ((DispatchDecision.Place) decision).backup().equals("idle"))
            .count();
    assertThat(backupCopies).isEqualTo(3);
  }

  @Test
  void a_request_that_ends_within_a_notice_gets_no_backup_copy() {
    core.updateBackend(backend("x", "engines"), 0);
    core.updateBackend(backend("y", "engines"), 0);

    submit(draftRequest(1_000, 20).setIrreplaceable(true), 0);

    assertThat(((DispatchDecision.Place) onlyDecision()).backup()).isEmpty();
  }

  @Test
  void a_request_with_a_backup_copy_leaves_the_notice_of_its_engine_to_one_without() {
    core.updateBackend(backend("x", "engines"), 0);
    core.updateBackend(backend("y", "engines"), 0);
    core.updateBackend(warmingUp("z"), 0);
    restore(draftRequest(1_000, 2_000).setId(71).build(), "x", "y", "");
    restore(draftRequest(1_500, 2_000).setId(72).build(), "x", "", "");

    core.updateBackend(leaving("x"), 200);

    assertThat(((DispatchDecision.Migrate) onlyDecision()).requestId())
        .isEqualTo(new RequestId("gateway", 72));
  }

  @Test
  void a_request_whose_backup_copy_is_on_a_leaving_engine_is_migrated() {
    core.updateBackend(backend("x", "engines"), 0);
    core.updateBackend(backend("y", "engines"), 0);
    core.updateBackend(backend("z", "engines"), 0);
    restore(draftRequest(1_000, 2_000).setId(71).build(), "x", "y", "");
    core.updateBackend(leaving("y"), 100);

    core.updateBackend(leaving("x"), 200);

    assertThat(((DispatchDecision.Migrate) onlyDecision()).target()).isEqualTo("z");
  }

  @Test
  void no_backup_copies_are_made_while_requests_need_the_memory_of_the_service() {
    core.updateBackend(backend("x", "engines"), 0);
    core.updateBackend(backend("y", "engines"), 0);
    core.updateBackend(warmingUp("new"), 0);
    for (int i = 0; i < 2; i++) {
      core.outputProgressed(submit(draftRequest(8_000, 50).setTargetLeftMillis(9_000), i), 4, i);
    }
    core.drainDecisions();

    submit(draftRequest(900, 400).setIrreplaceable(true), 5);

    assertThat(((DispatchDecision.Place) onlyDecision()).backup()).isEmpty();
  }

  @Test
  void retries_stay_within_the_retry_budget_of_the_service() {
    core.updateBackend(backend("p", "plain"), 0);
    int placed = 0;
    for (int i = 0; i < 40; i++) {
      RequestId requestId = submit(plainRequest().setRepeat(true), i);
      if (onlyDecision() instanceof DispatchDecision.Place) {
        placed++;
        core.requestEnded(requestId, DispatchOutcome.DISPATCH_OUTCOME_ANSWERED, 0, i);
      }
    }

    assertThat(placed).isBetween(5, 10);
  }

  @Test
  void only_the_first_refused_retry_of_a_window_is_reported() {
    core.updateBackend(backend("p", "plain"), 0);
    for (int i = 0; i < 40; i++) {
      submit(plainRequest().setRepeat(true), i);
    }

    assertThat(core.drainRetryRefusals())
        .singleElement()
        .hasToString("service plain: 8 retries of 0 requests, 8.0 allowed (all gateways)");
    assertThat(core.drainRetryRefusals()).isEmpty();
  }

  @Test
  void requests_of_a_removed_gateway_free_their_capacity() {
    core.updateBackend(backend("x", "engines"), 0);
    submit(draftRequest(9_000, 100), 0);
    core.drainDecisions();

    core.removeGateway("gateway", 10);

    assertThat(core.runningRequests()).isZero();
  }

  @Test
  void a_new_scheduler_counts_requests_that_another_one_placed() {
    core.updateBackend(backend("x", "engines"), 0);
    PlacementRequest running = draftRequest(9_000, 2_000).setId(77).build();
    restore(running, "x", "", "");

    submit(draftRequest(6_000, 100), 1);

    assertThat(onlyDecision()).isInstanceOf(DispatchDecision.Reject.class);
  }

  private void restore(
      PlacementRequest running, String backend, String backup, String migrationTarget) {
    RunningDispatch dispatch =
        RunningDispatch.newBuilder()
            .setAsk(running)
            .setBackend(backend)
            .setBackup(backup)
            .setMigrationTarget(migrationTarget)
            .setOutputTokens(40)
            .build();
    core.restoreRunning(new RequestId("gateway", running.getId()), dispatch, 0);
  }

  @Test
  void a_new_scheduler_counts_the_backup_copies_that_another_one_assigned() {
    core.updateBackend(backend("x", "engines"), 0);
    core.updateBackend(backend("y", "engines"), 0);
    restore(draftRequest(6_000, 1_000).setId(77).build(), "x", "y", "");

    submit(draftRequest(6_000, 100), 1);

    assertThat(onlyDecision()).isInstanceOf(DispatchDecision.Reject.class);
  }

  @Test
  void a_new_scheduler_counts_the_targets_of_migrations_that_another_one_started() {
    core.updateBackend(backend("y", "engines"), 0);
    core.updateBackend(leaving("x"), 0);
    restore(draftRequest(6_000, 1_000).setId(77).build(), "x", "", "y");
    assertThat(core.drainDecisions()).isEmpty();

    submit(draftRequest(6_000, 100), 1);

    assertThat(onlyDecision()).isInstanceOf(DispatchDecision.Reject.class);
  }

  /**
   * Guards against retries that are counted, and then rejected, because their request came twice.
   */
  @Test
  void a_retry_that_comes_again_counts_once_in_the_retry_budget() {
    core.updateBackend(backend("p1", "plain").toBuilder().setSlots(100).build(), 0);
    for (long id = 1; id <= 8; id++) {
      RequestId requestId = new RequestId("gateway", id);
      PlacementRequest retry = plainRequest().setId(id).setRepeat(true).build();
      core.submit(requestId, retry, id);
      core.submit(requestId, retry, id);
    }

    assertThat(core.drainDecisions()).noneMatch(DispatchDecision.Reject.class::isInstance);
    assertThat(core.runningRequests()).isEqualTo(8);
  }
}
