package org.curranthaven.internal.clients;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against limits that together exceed the descriptors of a machine. */
class HostLimitsTest {
  /** Voters of the largest group that is supported, and as many that replace them. */
  private static final int CONTROL_HOSTS = 14;

  private static int sum(HostLimits limits) {
    return limits.reserved()
        + limits.callers()
        + limits.readiness()
        + limits.control()
        + 2 * limits.peers()
        + limits.status()
        + limits.backends();
  }

  @ParameterizedTest
  @ValueSource(ints = {256, 512, 1_024, 2_212, 4_096, 4_100, 10_250})
  void all_connections_together_stay_below_the_descriptors(int descriptors) {
    assertThat(sum(HostLimits.gateway(descriptors))).isLessThanOrEqualTo(descriptors);
    assertThat(sum(HostLimits.control(descriptors))).isLessThanOrEqualTo(descriptors);
  }

  @ParameterizedTest
  @ValueSource(ints = {512, 2_212, 4_100, 10_250})
  void a_gateway_keeps_a_connection_to_a_server_for_each_caller(int descriptors) {
    HostLimits limits = HostLimits.gateway(descriptors);

    assertThat(limits.backends()).isGreaterThanOrEqualTo(limits.callers());
    assertThat(limits.peers()).isGreaterThanOrEqualTo(CONTROL_HOSTS);
  }

  @Test
  void a_control_host_accepts_all_hosts_and_servers_of_the_target() {
    HostLimits limits = HostLimits.control(4_096);

    assertThat(limits.peers()).isGreaterThanOrEqualTo(370);
    assertThat(limits.control()).isGreaterThanOrEqualTo(2 * 810);
  }

  @Test
  void limits_beyond_the_descriptors_are_rejected() {
    assertThatThrownBy(() -> new HostLimits(100, 50, 51, 0, 0, 0, 0, 0))
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessageContaining("100");
  }
}
