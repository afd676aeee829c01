package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.curranthaven.internal.dispatch.DispatchFeatures;
import org.junit.jupiter.api.Test;

/** Guards against functions that are active where the deployment does not ask for them. */
class ProtocolFeaturesTest {
  private final PlatformProtocol protocol = new PlatformProtocol();

  @Test
  void a_deployment_asks_for_a_reserve_by_the_name_of_the_platform() {
    assertThat(protocol.features(List.of("other", "pressure")))
        .isEqualTo(new DispatchFeatures(true));
  }

  @Test
  void unknown_names_and_no_names_ask_for_nothing() {
    assertThat(protocol.features(List.of("other"))).isEqualTo(DispatchFeatures.none());
    assertThat(protocol.features(List.of())).isEqualTo(DispatchFeatures.none());
  }
}
