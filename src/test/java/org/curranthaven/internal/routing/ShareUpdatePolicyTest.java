package org.curranthaven.internal.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class ShareUpdatePolicyTest {
  private final ShareUpdatePolicy policy = new ShareUpdatePolicy();

  private static HostShare share(String server, int running) {
    return new HostShare(server, running, new MemoryForecast());
  }

  @Test
  void all_shares_are_told_first_and_once_a_second() {
    assertThat(policy.nextUpdate(List.of(share("s1", 1)), 0).full()).isTrue();
    assertThat(policy.nextUpdate(List.of(share("s1", 1)), 999).full()).isFalse();
    assertThat(policy.nextUpdate(List.of(share("s1", 1)), 1_000).full()).isTrue();
  }

  @Test
  void between_only_what_has_changed_is_told() {
    policy.nextUpdate(List.of(share("s1", 1), share("s2", 1)), 0);

    ShareUpdate update = policy.nextUpdate(List.of(share("s1", 2), share("s2", 1)), 50);

    assertThat(update.shares()).extracting(HostShare::server).containsExactly("s1");
  }

  @Test
  void a_server_on_which_nothing_is_open_any_more_is_told_once() {
    policy.nextUpdate(List.of(share("s1", 1)), 0);

    assertThat(policy.nextUpdate(List.of(), 50).shares())
        .singleElement()
        .extracting(HostShare::running)
        .isEqualTo(0);
    assertThat(policy.nextUpdate(List.of(), 100).shares()).isEmpty();
  }
}
