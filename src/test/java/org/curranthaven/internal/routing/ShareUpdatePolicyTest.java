package org.curranthaven.internal.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class ShareUpdatePolicyTest {
  private final ShareUpdatePolicy policy = new ShareUpdatePolicy();

  private static HostShare share(String backend, int running) {
    return new HostShare(backend, running, new MemoryForecast());
  }

  @Test
  void all_shares_are_sent_first_and_once_a_second() {
    assertThat(policy.nextUpdate(List.of(share("s1", 1)), 0).full()).isTrue();
    assertThat(policy.nextUpdate(List.of(share("s1", 1)), 999).full()).isFalse();
    assertThat(policy.nextUpdate(List.of(share("s1", 1)), 1_000).full()).isTrue();
  }

  @Test
  void only_changed_shares_are_sent_between_full_updates() {
    policy.nextUpdate(List.of(share("s1", 1), share("s2", 1)), 0);

    ShareUpdate update = policy.nextUpdate(List.of(share("s1", 2), share("s2", 1)), 50);

    assertThat(update.shares()).extracting(HostShare::server).containsExactly("s1");
  }

  @Test
  void backend_server_without_open_requests_left_is_sent_once() {
    policy.nextUpdate(List.of(share("s1", 1)), 0);

    assertThat(policy.nextUpdate(List.of(), 50).shares())
        .singleElement()
        .extracting(HostShare::running)
        .isEqualTo(0);
    assertThat(policy.nextUpdate(List.of(), 100).shares()).isEmpty();
  }
}
