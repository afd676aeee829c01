package org.curranthaven.internal.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

class FreshnessTest {
  private static final long VOTER_SET_VERSION = 1;

  private final FreshnessCore host = new FreshnessCore();
  private final AcceptanceCore leader = new AcceptanceCore();

  /** Starts leadership so early that all leases unknown to the leader have expired by now. */
  private void startLeadershipBefore(long nowMillis, String... voters) {
    leader.leadershipStarted(nowMillis - AcceptanceCore.MAX_LEASE_MILLIS);
    leader.setVoters(Set.of(voters), nowMillis - AcceptanceCore.MAX_LEASE_MILLIS);
  }

  @Test
  void a_host_without_configuration_never_serves() {
    host.grantedByLeader(0, 0);

    assertThat(host.mayServe(1)).isFalse();
  }

  @Test
  void a_lease_from_the_leader_lasts_from_the_sending_of_the_request() {
    host.activate(1);
    host.grantedByLeader(1, 1_000);

    assertThat(host.mayServe(2_999)).isTrue();
    assertThat(host.mayServe(3_000)).isFalse();
  }

  @Test
  void a_revision_never_decreases() {
    host.activate(5);

    assertThat(host.activate(4)).isFalse();
    assertThat(host.revision()).isEqualTo(5);
  }

  @Test
  void a_lease_for_an_older_revision_is_ignored() {
    host.activate(2);
    host.grantedByLeader(1, 1_000);

    assertThat(host.mayServe(1_100)).isFalse();
  }

  @Test
  void a_host_serves_with_leases_from_a_majority_of_voters_when_no_leader_replies() {
    host.activate(1);
    host.grantedByVoter("a", 1, VOTER_SET_VERSION, 3, 1_000);
    assertThat(host.mayServe(1_100)).isFalse();

    host.grantedByVoter("b", 1, VOTER_SET_VERSION, 3, 1_050);

    assertThat(host.mayServe(2_999)).isTrue();
    assertThat(host.mayServe(3_001)).isFalse();
  }

  @Test
  void voters_of_different_voter_sets_do_not_form_a_majority() {
    host.activate(1);
    host.grantedByVoter("a", 1, VOTER_SET_VERSION, 3, 1_000);
    host.grantedByVoter("b", 1, VOTER_SET_VERSION + 1, 3, 1_000);

    assertThat(host.mayServe(1_100)).isFalse();
  }

  @Test
  void a_change_is_accepted_once_it_is_active_on_every_host_that_may_serve() {
    startLeadershipBefore(0, "a");
    leader.requestLease("host-1", 1, 1, 0);
    leader.voterReported("a", 2);
    leader.awaitActivation(2, 77);
    assertThat(leader.drainAccepted(10)).isEmpty();

    leader.requestLease("host-1", 2, 2, 20);

    assertThat(leader.drainAccepted(20)).containsExactly(77L);
  }

  @Test
  void a_change_is_accepted_only_after_the_lease_of_a_disconnected_host_has_expired() {
    startLeadershipBefore(0, "a");
    leader.requestLease("host-1", 1, 1, 0);
    leader.voterReported("a", 2);
    leader.awaitActivation(2, 77);

    assertThat(leader.drainAccepted(FreshnessCore.LEASE_MILLIS)).isEmpty();
    assertThat(leader.drainAccepted(AcceptanceCore.MAX_LEASE_MILLIS)).containsExactly(77L);
  }

  @Test
  void a_new_leader_waits_until_leases_of_its_predecessor_must_have_expired() {
    leader.leadershipStarted(0);
    leader.setVoters(Set.of("a"), 0);
    leader.voterReported("a", 2);

    assertThat(leader.isActiveEverywhere(2, AcceptanceCore.MAX_LEASE_MILLIS - 1)).isFalse();
    assertThat(leader.isActiveEverywhere(2, AcceptanceCore.MAX_LEASE_MILLIS)).isTrue();
  }

  @Test
  void a_change_is_accepted_only_after_leases_granted_by_other_voters_have_expired() {
    startLeadershipBefore(0, "a", "b", "c");
    leader.voterReported("a", 2);
    assertThat(leader.isActiveEverywhere(2, 0))
        .as("only one of three voters has reported its leases")
        .isFalse();

    leader.leaseGrantedByVoter("host-9", 1, 500, 0);
    leader.voterReported("b", 2);

    assertThat(leader.isActiveEverywhere(2, 500)).isFalse();
    assertThat(leader.isActiveEverywhere(2, 700)).isTrue();
  }
}
