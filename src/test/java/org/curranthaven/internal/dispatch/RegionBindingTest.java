package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.DataCentreRegions;
import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.catalog.HomeRegions;
import org.curranthaven.internal.catalog.RequestLimits;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that leave the regions that their route and workspace allow. */
class RegionBindingTest {
  private static final DataCentreRegions REGIONS =
      new DataCentreRegions(Map.of("n1", "north", "n2", "north", "s1", "south"));

  private DispatchCore core = newCore(1);
  private long nextId = 1;

  private static DispatchCore newCore(int capacityShares) {
    DispatchCore core =
        new DispatchCore(
            new RetryLimits(0.2, 100, 10_000), capacityShares, new SplittableRandom(1));
    core.setCatalog(
        new Catalog(
            1,
            List.of(),
            List.of(
                new ServiceSpec("plain", 100, null),
                new ServiceSpec("engines", 100, new EngineCapabilities(8, 20_000, 4, true, true))),
            RequestLimits.standard(),
            null));
    return core;
  }

  private void register(String id, String service, String dataCentre, boolean leaving) {
    core.updateBackend(
        BackendRecord.newBuilder()
            .setId(id)
            .setService(service)
            .setSoftwareVersion("v1")
            .setDataCentre(dataCentre)
            .setSlots(2)
            .setLeaving(leaving)
            .build(),
        0);
  }

  private PlacementRequest.Builder request(String service, String... regions) {
    PlacementRequest.Builder request =
        PlacementRequest.newBuilder()
            .setId(nextId++)
            .setService(service)
            .setEngine(service.equals("engines"))
            .setTargetLeftMillis(5_000)
            .setDeadlineLeftMillis(60_000);
    RegionBinding.bind(request, HomeRegions.of(List.of(regions)), REGIONS);
    return request;
  }

  private List<DispatchDecision> submit(PlacementRequest.Builder request) {
    core.submit(new RequestId("g", request.getId()), request.build(), 0);
    return core.drainDecisions();
  }

  private String placedOn(PlacementRequest.Builder request) {
    List<DispatchDecision> decisions = submit(request);
    assertThat(decisions).singleElement().isInstanceOf(DispatchDecision.Place.class);
    return ((DispatchDecision.Place) decisions.getFirst()).backend();
  }

  private RejectionReason rejectionOf(PlacementRequest.Builder request) {
    List<DispatchDecision> decisions = submit(request);
    assertThat(decisions).singleElement().isInstanceOf(DispatchDecision.Reject.class);
    return ((DispatchDecision.Reject) decisions.getFirst()).reason();
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 4})
  void requests_are_placed_only_in_their_regions_also_in_local_fallback(int capacityShares) {
    core = newCore(capacityShares);
    register("i-n1", "plain", "n1", false);
    register("i-s1", "plain", "s1", false);

    assertThat(placedOn(request("plain", "south"))).isEqualTo("i-s1");
    assertThat(placedOn(request("plain", "north").setDataCentre("s1"))).isEqualTo("i-n1");
  }

  @Test
  void a_retry_stays_in_its_regions() {
    register("i-n1", "plain", "n1", false);
    register("i-n2", "plain", "n2", false);
    register("i-s1", "plain", "s1", false);
    PlacementRequest.Builder first = request("plain", "north").addExcluded("i-n1").setRepeat(true);
    PlacementRequest.Builder second =
        request("plain", "north").addExcluded("i-n1").addExcluded("i-n2").setRepeat(true);

    assertThat(placedOn(first)).isEqualTo("i-n2");
    assertThat(rejectionOf(second)).isEqualTo(RejectionReason.ALL_TRIED);
  }

  /** Guards against the advice to allow another region while an evacuation is the reason. */
  @Test
  void a_request_whose_regions_are_evacuated_is_told_to_come_back() {
    register("i-n1", "plain", "n1", false);
    register("i-s1", "plain", "s1", false);
    core.setEvacuated(Set.of("n1"), 0);

    assertThat(rejectionOf(request("plain", "north"))).isEqualTo(RejectionReason.NO_BACKEND);
    assertThat(placedOn(request("plain", "south"))).isEqualTo("i-s1");
  }

  @Test
  void a_request_without_a_server_in_its_regions_is_rejected_at_once() {
    register("i-n1", "plain", "n1", false);
    register("i-x", "plain", "unknown", false);

    assertThat(rejectionOf(request("plain", "south")))
        .isEqualTo(RejectionReason.NO_BACKEND_IN_REGIONS);
    assertThat(rejectionOf(request("plain", "west")))
        .isEqualTo(RejectionReason.NO_BACKEND_IN_REGIONS);
  }

  @Test
  void servers_in_a_data_centre_of_unknown_region_serve_only_requests_without_restriction() {
    register("i-x", "plain", "unknown", false);

    assertThat(placedOn(request("plain"))).isEqualTo("i-x");
    assertThat(rejectionOf(request("plain", "north")))
        .isEqualTo(RejectionReason.NO_BACKEND_IN_REGIONS);
  }

  @Test
  void regions_that_exclude_each_other_allow_no_server() {
    register("i-n1", "plain", "n1", false);
    HomeRegions none = HomeRegions.of(List.of("north")).and(HomeRegions.of(List.of("south")));
    PlacementRequest.Builder request = request("plain");
    RegionBinding.bind(request, none, REGIONS);

    assertThat(rejectionOf(request)).isEqualTo(RejectionReason.NO_BACKEND_IN_REGIONS);
  }

  @Test
  void a_request_that_waits_for_its_region_keeps_no_other_waiting() {
    register("i-n1", "plain", "n1", false);
    register("i-s1", "plain", "s1", false);
    for (int i = 0; i < 3; i++) {
      assertThat(placedOn(request("plain", "south"))).isEqualTo("i-s1");
    }

    assertThat(submit(request("plain", "south"))).isEmpty();

    assertThat(placedOn(request("plain", "north"))).isEqualTo("i-n1");
  }

  @Test
  void a_stream_that_its_caller_takes_up_stays_in_its_regions() {
    register("e-n1", "engines", "n1", false);
    PlacementRequest.Builder first = request("engines", "north").setStream(7);
    assertThat(placedOn(first)).isEqualTo("e-n1");
    core.outputProgressed(new RequestId("g", first.getId()), 8, 10);
    register("e-s1", "engines", "s1", false);

    assertThat(placedOn(request("engines", "north").setResumes(true).setResumedStream(7)))
        .isEqualTo("e-n1");
    core.removeBackend("e-n1", 20);
    core.drainDecisions();
    assertThat(rejectionOf(request("engines", "north").setResumes(true).setResumedStream(7)))
        .isEqualTo(RejectionReason.NO_BACKEND_IN_REGIONS);
  }

  private PlacementRequest.Builder longStream(String region) {
    return request("engines", region)
        .setIrreplaceable(true)
        .setPromptTokens(1_000)
        .setHintedOutputTokens(750)
        .setMaxOutputTokens(750);
  }

  private static String backupOf(List<DispatchDecision> decisions) {
    return decisions.getFirst() instanceof DispatchDecision.Place place ? place.backup() : "none";
  }

  @Test
  void a_backup_copy_is_kept_only_in_the_regions_of_its_request() {
    register("e-n1", "engines", "n1", false);
    register("e-s1", "engines", "s1", false);

    List<DispatchDecision> withoutBackup = submit(longStream("north"));
    register("e-n2", "engines", "n2", false);
    List<DispatchDecision> withBackup = submit(longStream("north"));

    assertThat(backupOf(withoutBackup)).isEmpty();
    assertThat(backupOf(withBackup)).isIn("e-n1", "e-n2");
  }

  @Test
  void a_running_request_is_migrated_only_within_its_regions() {
    register("e-n1", "engines", "n1", false);
    PlacementRequest.Builder bound = longStream("north");
    assertThat(placedOn(bound)).isEqualTo("e-n1");
    register("e-s1", "engines", "s1", false);
    core.outputProgressed(new RequestId("g", bound.getId()), 8, 10);

    register("e-n1", "engines", "n1", true);
    assertThat(core.drainDecisions()).isEmpty();
    register("e-n2", "engines", "n2", false);
    core.tick(20);

    assertThat(core.drainDecisions())
        .singleElement()
        .isInstanceOfSatisfying(
            DispatchDecision.Migrate.class,
            migration -> assertThat(migration.target()).isEqualTo("e-n2"));
  }
}
