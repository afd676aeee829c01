package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.curranthaven.internal.transport.wire.PromptPart;
import org.junit.jupiter.api.Test;

class CrashEvidenceTest {
  private static final long SECOND_MILLIS = 1_000;

  private final CrashEvidence evidence = new CrashEvidence();
  private long nowMillis = 100 * SECOND_MILLIS;

  static PlacementRequest request(String... parts) {
    PlacementRequest.Builder request = PlacementRequest.newBuilder().setService("s");
    for (String part : parts) {
      request.addParts(PromptPart.newBuilder().setId(part).setTokens(100));
    }
    return request.build();
  }

  private static Map<CrashSuspect, Long> suspects(long placedAtMillis, String... parts) {
    Map<CrashSuspect, Long> suspects = new LinkedHashMap<>();
    for (String part : parts) {
      suspects.put(new CrashSuspect.Part("s", part), placedAtMillis);
    }
    return suspects;
  }

  /** Records the crash of an engine under the given parts, one second after the last event. */
  private boolean crash(String engine, String... parts) {
    nowMillis += SECOND_MILLIS;
    return evidence.recordCrash(engine, suspects(0, parts), nowMillis);
  }

  private boolean isBlocked(String part) {
    return evidence.blockedMillis(request(part, "own"), nowMillis) > 0;
  }

  @Test
  void a_part_is_blocked_once_three_engines_have_crashed_on_it() {
    assertThat(crash("i-1", "bad", "a")).isFalse();
    assertThat(crash("i-2", "bad", "b")).isFalse();
    assertThat(isBlocked("bad")).isFalse();

    assertThat(crash("i-3", "bad", "a")).isTrue();

    assertThat(isBlocked("bad")).isTrue();
    assertThat(isBlocked("a")).isFalse();
    assertThat(evidence.blockedParts(nowMillis)).containsExactly("bad");
  }

  /** Guards against a leader that stands still over a prompt of many parts. */
  @Test
  void the_work_for_parts_that_become_blocked_together_grows_as_their_number() {
    int parts = 400;
    String[] names = new String[parts];
    Arrays.setAll(names, i -> "part-" + i);

    crash("i-1", names);
    crash("i-2", names);
    long examinedBefore = evidence.examinedSuspects();
    assertThat(crash("i-3", names)).isTrue();

    assertThat(isBlocked("part-0")).isTrue();
    assertThat(isBlocked("part-399")).isTrue();
    assertThat(evidence.examinedSuspects() - examinedBefore).isLessThanOrEqualTo(2L * parts);
  }

  @Test
  void the_last_part_of_a_prompt_is_never_blocked() {
    assertThat(CrashSuspect.partsOf(request("a", "b", "own")))
        .extracting(CrashSuspect.Part::part)
        .containsExactly("a", "b");
    assertThat(CrashSuspect.partsOf(request("own"))).isEmpty();
    assertThat(CrashSuspect.partsOf(request())).isEmpty();
  }

  @Test
  void a_part_on_which_output_continues_is_cleared() {
    crash("i-1", "first");
    crash("i-2", "first");
    evidence.recordOutput(request("first", "own"), nowMillis + 1);

    assertThat(crash("i-3", "first")).isFalse();
    assertThat(crash("i-4", "first")).isFalse();
    assertThat(isBlocked("first")).isFalse();
  }

  @Test
  void a_part_is_unblocked_when_output_continues_on_it() {
    crash("i-1", "bad");
    crash("i-2", "bad");
    crash("i-3", "bad");
    assertThat(isBlocked("bad")).isTrue();

    evidence.recordOutput(request("bad", "own"), nowMillis + 1);

    assertThat(isBlocked("bad")).isFalse();
  }

  @Test
  void engines_that_crash_together_are_one_crash() {
    Map<CrashSuspect, Long> suspects = suspects(nowMillis - 1, "first");
    for (int i = 0; i < 6; i++) {
      assertThat(evidence.recordCrash("i-" + i, suspects, nowMillis + 10L * i)).isFalse();
    }
    assertThat(isBlocked("first")).isFalse();
  }

  @Test
  void engines_that_crash_one_after_the_other_are_several_crashes_however_fast() {
    for (int i = 0; i < 3; i++) {
      evidence.recordCrash("i-" + i, suspects(nowMillis + 5L * i, "bad"), nowMillis + 5L * i + 4);
    }
    assertThat(isBlocked("bad")).isTrue();
  }

  @Test
  void crashes_that_a_blocked_part_explains_do_not_count_against_others() {
    crash("i-1", "bad", "a");
    crash("i-2", "bad");
    crash("i-3", "bad", "a");
    crash("i-4", "bad", "a");
    crash("i-5", "a");
    crash("i-6", "a");
    assertThat(isBlocked("a")).isFalse();

    crash("i-7", "a");

    assertThat(isBlocked("a")).isTrue();
  }

  @Test
  void two_parts_that_crash_engines_at_the_same_time_are_both_blocked() {
    crash("i-1", "bad");
    crash("i-2", "worse");
    crash("i-3", "bad");
    crash("i-4", "worse");
    crash("i-5", "bad");
    crash("i-6", "worse");

    assertThat(evidence.blockedParts(nowMillis)).containsExactly("bad", "worse");
  }

  @Test
  void the_crash_of_an_engine_that_runs_is_taken_back() {
    crash("i-1", "a");
    crash("i-2", "a");
    evidence.removeCrash("i-2");

    assertThat(crash("i-3", "a")).isFalse();
    assertThat(isBlocked("a")).isFalse();
  }

  @Test
  void a_block_ends_and_the_next_crash_renews_it_for_longer() {
    crash("i-1", "bad");
    crash("i-2", "bad");
    crash("i-3", "bad");
    nowMillis += CrashEvidence.FIRST_BLOCK_MILLIS;
    assertThat(isBlocked("bad")).isFalse();

    assertThat(crash("i-4", "bad")).isTrue();

    assertThat(evidence.blockedMillis(request("bad", "own"), nowMillis))
        .isEqualTo(2 * CrashEvidence.FIRST_BLOCK_MILLIS);
  }

  @Test
  void a_part_that_was_blocked_is_forgotten_in_the_end() {
    crash("i-1", "bad");
    crash("i-2", "bad");
    crash("i-3", "bad");
    nowMillis += CrashEvidence.FIRST_BLOCK_MILLIS + CrashEvidence.PROBATION_MILLIS + 1;

    assertThat(crash("i-4", "bad")).isFalse();
  }

  @Test
  void old_crashes_do_not_count() {
    crash("i-1", "a");
    crash("i-2", "a");
    nowMillis += CrashEvidence.CRASH_RETENTION_MILLIS + 1;

    assertThat(crash("i-3", "a")).isFalse();
    assertThat(evidence.export(nowMillis)).hasSize(1);
  }

  @Test
  void the_number_of_parts_is_bounded_and_blocked_ones_stay() {
    crash("i-1", "bad");
    crash("i-2", "bad");
    crash("i-3", "bad");
    for (int i = 0; i < 2 * CrashEvidence.MAX_SUSPECTS; i++) {
      nowMillis += 1;
      evidence.recordCrash("j-" + i, suspects(0, "p" + i), nowMillis);
    }

    assertThat(evidence.export(nowMillis)).hasSize(CrashEvidence.MAX_SUSPECTS);
    assertThat(isBlocked("bad")).isTrue();
  }

  @Test
  void a_crash_under_more_parts_than_are_remembered_is_counted_for_some() {
    String[] parts = new String[2 * CrashEvidence.MAX_SUSPECTS];
    Arrays.setAll(parts, i -> "p" + i);

    assertThat(crash("i-1", parts)).isFalse();

    assertThat(evidence.export(nowMillis)).hasSize(CrashEvidence.MAX_SUSPECTS);
  }

  @Test
  void another_host_continues_to_count_from_what_it_is_told() {
    crash("i-1", "bad");
    crash("i-2", "bad");
    CrashEvidence successor = new CrashEvidence();
    long laterMillis = 7 * SECOND_MILLIS;

    successor.merge(evidence.export(nowMillis), laterMillis);
    successor.merge(evidence.export(nowMillis), laterMillis + 300);

    assertThat(successor.blockedParts(laterMillis)).isEmpty();
    assertThat(successor.recordCrash("i-3", suspects(0, "bad"), laterMillis + SECOND_MILLIS))
        .isTrue();
  }

  @Test
  void a_block_and_a_clearing_reach_other_hosts_whichever_arrives_first() {
    crash("i-1", "bad");
    crash("i-2", "bad");
    crash("i-3", "bad");
    var blocked = evidence.export(nowMillis);
    evidence.recordOutput(request("bad", "own"), nowMillis + 50);
    var cleared = evidence.export(nowMillis + 50);

    CrashEvidence inOrder = new CrashEvidence();
    inOrder.merge(blocked, 1_000);
    assertThat(inOrder.blockedParts(1_000)).containsExactly("bad");
    inOrder.merge(cleared, 1_050);
    CrashEvidence reversed = new CrashEvidence();
    reversed.merge(cleared, 1_050);
    reversed.merge(blocked, 1_050);

    assertThat(inOrder.blockedParts(1_050)).isEmpty();
    assertThat(reversed.blockedParts(1_050)).isEmpty();
  }
}
