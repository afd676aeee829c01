package org.curranthaven.internal.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

class FreshnessTest {
  private static final long SET = 1;

  private final FreshnessCore host = new FreshnessCore();
  private final AcceptanceCore leader = new AcceptanceCore();

  private void leadSince(long nowMillis, String... voters) {
    leader.leadershipStarted(nowMillis - AcceptanceCore.MAX_LEASE_MILLIS);
    leader.setVoters(Set.of(voters), nowMillis - AcceptanceCore.MAX_LEASE_MILLIS);
  }

  @Test
  void a_host_without_configuration_never_serves() {
    host.grantedByLeader(0, 0);

    assertThat(host.mayServe(1)).isFalse();
  }

  @Test
  void a_host_serves_while_the_leaders_lease_lasts_from_when_it_asked() {
    host.activate(1);
    host.grantedByLeader(1, 1_000);

    assertThat(host.mayServe(2_999)).isTrue();
    assertThat(host.mayServe(3_000)).isFalse();
  }

  @Test
  void a_revision_never_goes_down() {
    host.activate(5);

    assertThat(host.activate(4)).isFalse();
    assertThat(host.revision()).isEqualTo(5);
  }

  @Test
  void a_grant_for_an_older_revision_counts_for_nothing() {
    host.activate(2);
    host.grantedByLeader(1, 1_000);

    assertThat(host.mayServe(1_100)).isFalse();
  }

  @Test
  void a_host_serves_on_leases_from_a_majority_of_voters_when_no_leader_answers() {
    host.activate(1);
    host.grantedByVoter("a", 1, SET, 3, 1_000);
    assertThat(host.mayServe(1_100)).isFalse();

    host.grantedByVoter("b", 1, SET, 3, 1_050);

    assertThat(host.mayServe(2_999)).isTrue();
    assertThat(host.mayServe(3_001)).isFalse();
  }

  @Test
  void voters_of_different_voter_sets_do_not_make_a_majority() {
    host.activate(1);
    host.grantedByVoter("a", 1, SET, 3, 1_000);
    host.grantedByVoter("b", 1, SET + 1, 3, 1_000);

    assertThat(host.mayServe(1_100)).isFalse();
  }

  @Test
  void a_change_is_accepted_when_every_host_that_may_serve_has_it() {
    leadSince(0, "a");
    leader.requestLease("host-1", 1, 1, 0);
    leader.voterReported("a", 2);
    leader.awaitActivation(2, 77);
    assertThat(leader.drainAccepted(10)).isEmpty();

    leader.requestLease("host-1", 2, 2, 20);

    assertThat(leader.drainAccepted(20)).containsExactly(77L);
  }

  @Test
  void a_change_waits_for_the_lease_of_a_host_that_is_cut_off_to_end() {
    leadSince(0, "a");
    leader.requestLease("host-1", 1, 1, 0);
    leader.voterReported("a", 2);
    leader.awaitActivation(2, 77);

    assertThat(leader.drainAccepted(FreshnessCore.LEASE_MILLIS)).isEmpty();
    assertThat(leader.drainAccepted(AcceptanceCore.MAX_LEASE_MILLIS)).containsExactly(77L);
  }

  @Test
  void a_new_leader_waits_until_its_predecessors_leases_must_have_ended() {
    leader.leadershipStarted(0);
    leader.setVoters(Set.of("a"), 0);
    leader.voterReported("a", 2);

    assertThat(leader.isActiveEverywhere(2, AcceptanceCore.MAX_LEASE_MILLIS - 1)).isFalse();
    assertThat(leader.isActiveEverywhere(2, AcceptanceCore.MAX_LEASE_MILLIS)).isTrue();
  }

  @Test
  void a_change_waits_for_leases_that_voters_gave_while_the_leader_was_out_of_reach() {
    leadSince(0, "a", "b", "c");
    leader.voterReported("a", 2);
    assertThat(leader.isActiveEverywhere(2, 0))
        .as("only one of three voters has told its leases")
        .isFalse();

    leader.leaseGrantedByVoter("host-9", 1, 500, 0);
    leader.voterReported("b", 2);

    assertThat(leader.isActiveEverywhere(2, 500)).isFalse();
    assertThat(leader.isActiveEverywhere(2, 700)).isTrue();
  }
}
