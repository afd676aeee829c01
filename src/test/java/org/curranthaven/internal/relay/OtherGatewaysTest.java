package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.curranthaven.internal.catalog.DataCentreRegions;
import org.curranthaven.internal.catalog.HomeRegions;
import org.curranthaven.internal.transport.wire.KnownGateway;
import org.junit.jupiter.api.Test;

class OtherGatewaysTest {
  private final OtherGateways gateways = new OtherGateways("own");
  private final SplittableRandom random = new SplittableRandom(1);

  private void learn(long nowMillis, String... addresses) {
    gateways.learn(
        Stream.of(addresses).map(address -> gateway(address, "near")).toList(), nowMillis);
  }

  private static KnownGateway gateway(String address, String dataCentre) {
    return KnownGateway.newBuilder().setCallerAddress(address).setDataCentre(dataCentre).build();
  }

  private List<String> choose(long nowMillis) {
    return gateways.inRandomOrder(
        dataCentre -> !dataCentre.equals("far"), nowMillis, random::nextDouble);
  }

  @Test
  void a_gateway_does_not_choose_itself() {
    learn(1_000, "a", "own", "b");

    assertThat(choose(1_000)).containsExactlyInAnyOrder("a", "b");
  }

  @Test
  void each_gateway_is_chosen_first_at_times() {
    learn(1_000, "a", "b", "c");
    Set<String> first = new HashSet<>();
    for (int i = 0; i < 50; i++) {
      first.add(choose(1_000).getFirst());
    }

    assertThat(first).containsExactlyInAnyOrder("a", "b", "c");
  }

  @Test
  void a_gateway_that_could_not_serve_comes_last_for_a_while() {
    learn(1_000, "a", "b", "c");
    gateways.recordFailure("a", 1_000);
    for (int i = 0; i < 20; i++) {
      assertThat(choose(1_001).getLast()).isEqualTo("a");
    }

    Set<String> last = new HashSet<>();
    for (int i = 0; i < 50; i++) {
      last.add(choose(1_000 + OtherGateways.FAILURE_PAUSE_MILLIS).getLast());
    }
    assertThat(last).contains("b", "c");
  }

  @Test
  void a_gateway_that_is_not_named_any_more_is_forgotten() {
    learn(1_000, "a");
    learn(9_000, "b");

    assertThat(choose(1_001 + OtherGateways.TTL_MILLIS)).containsExactly("b");
  }

  @Test
  void a_gateway_in_a_data_centre_that_may_not_get_the_request_is_not_chosen() {
    learn(1_000, "a");
    gateways.learn(List.of(gateway("b", "far")), 1_000);

    assertThat(choose(1_000)).containsExactly("a");
  }

  @Test
  void requests_stay_in_their_home_regions_or_in_the_region_of_their_gateway() {
    DataCentreRegions regions =
        new DataCentreRegions(Map.of("a1", "a", "a2", "a", "b1", "b", "c1", "c"));

    assertThat(List.of("a1", "a2", "b1", "c1", "unknown"))
        .filteredOn(RequestForwarding.allowedDataCentres(HomeRegions.any(), regions, "a1"))
        .containsExactly("a1", "a2");
    assertThat(List.of("a1", "a2", "b1", "c1", "unknown"))
        .filteredOn(
            RequestForwarding.allowedDataCentres(HomeRegions.of(List.of("b")), regions, "a1"))
        .containsExactly("b1");
    assertThat(List.of("a1", "unknown"))
        .filteredOn(
            RequestForwarding.allowedDataCentres(
                HomeRegions.any(), new DataCentreRegions(Map.of()), "a1"))
        .containsExactly("a1", "unknown");
  }
}
