package org.curranthaven.internal.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import org.curranthaven.internal.transport.wire.ClaimCommand;
import org.curranthaven.internal.transport.wire.ClaimResult;
import org.curranthaven.internal.transport.wire.ClaimVerdict;
import org.curranthaven.internal.transport.wire.CompleteCommand;
import org.curranthaven.internal.transport.wire.LedgerCommand;
import org.curranthaven.internal.transport.wire.ReleaseCommand;
import org.curranthaven.internal.transport.wire.StoredAnswer;
import org.junit.jupiter.api.Test;

class LedgerStateTest {
  private static final long ISSUED = 1_000_000;

  private final LedgerState ledger = new LedgerState();

  private ClaimResult claim(String token, String body, long nowMillis) {
    return ledger.apply(
        LedgerCommand.newBuilder()
            .setNowMillis(nowMillis)
            .setClaim(
                ClaimCommand.newBuilder()
                    .setWorkspace("lounge")
                    .setKey("seat-7")
                    .setIssuedAtMillis(ISSUED)
                    .setBodyHash(ByteString.copyFromUtf8(body))
                    .setOwnerHost("host-" + token)
                    .setToken(token))
            .build());
  }

  private void complete(String token, String body, long nowMillis) {
    ledger.apply(
        LedgerCommand.newBuilder()
            .setNowMillis(nowMillis)
            .setComplete(
                CompleteCommand.newBuilder()
                    .setWorkspace("lounge")
                    .setKey("seat-7")
                    .setToken(token)
                    .setAnswer(StoredAnswer.newBuilder().setBody(ByteString.copyFromUtf8(body))))
            .build());
  }

  private void release(String token) {
    ledger.apply(
        LedgerCommand.newBuilder()
            .setNowMillis(ISSUED)
            .setRelease(
                ReleaseCommand.newBuilder().setWorkspace("lounge").setKey("seat-7").setToken(token))
            .build());
  }

  @Test
  void a_request_is_granted_to_one_attempt_only() {
    assertThat(claim("a", "hold", ISSUED).getVerdict())
        .isEqualTo(ClaimVerdict.CLAIM_VERDICT_GRANTED);
    assertThat(claim("b", "hold", ISSUED).getVerdict())
        .isEqualTo(ClaimVerdict.CLAIM_VERDICT_RUNNING);
    assertThat(claim("b", "hold", ISSUED).getRecord().getOwnerHost()).isEqualTo("host-a");
  }

  @Test
  void a_claim_whose_answer_was_lost_is_granted_again_to_the_same_attempt() {
    claim("a", "hold", ISSUED);

    assertThat(claim("a", "hold", ISSUED).getVerdict())
        .isEqualTo(ClaimVerdict.CLAIM_VERDICT_GRANTED);
  }

  @Test
  void a_resend_gets_the_kept_answer() {
    claim("a", "hold", ISSUED);
    complete("a", "seat 7 is yours", ISSUED);

    ClaimResult resend = claim("b", "hold", ISSUED);

    assertThat(resend.getVerdict()).isEqualTo(ClaimVerdict.CLAIM_VERDICT_DONE);
    assertThat(resend.getRecord().getAnswer().getBody().toStringUtf8())
        .isEqualTo("seat 7 is yours");
  }

  @Test
  void a_key_used_for_another_request_is_refused() {
    claim("a", "hold", ISSUED);

    assertThat(claim("b", "charge", ISSUED).getVerdict())
        .isEqualTo(ClaimVerdict.CLAIM_VERDICT_KEY_REUSED);
  }

  @Test
  void a_released_claim_may_be_granted_again() {
    claim("a", "hold", ISSUED);
    release("a");

    assertThat(claim("b", "hold", ISSUED).getVerdict())
        .isEqualTo(ClaimVerdict.CLAIM_VERDICT_GRANTED);
  }

  @Test
  void only_the_owner_can_release_or_complete() {
    claim("a", "hold", ISSUED);
    release("b");
    complete("b", "forged", ISSUED);

    assertThat(claim("c", "hold", ISSUED).getVerdict())
        .isEqualTo(ClaimVerdict.CLAIM_VERDICT_RUNNING);
  }

  @Test
  void forgetting_a_claim_never_allows_a_second_run() {
    claim("a", "hold", ISSUED);
    long later = ISSUED + LedgerState.RETENTION_MILLIS;

    assertThat(claim("b", "hold", later).getVerdict())
        .isEqualTo(ClaimVerdict.CLAIM_VERDICT_TOO_OLD);
    assertThat(ledger.size()).isZero();
    assertThat(claim("b", "hold", ISSUED).getVerdict())
        .as("the state's clock does not go back")
        .isEqualTo(ClaimVerdict.CLAIM_VERDICT_TOO_OLD);
  }

  @Test
  void a_snapshot_holds_everything() {
    claim("a", "hold", ISSUED);
    complete("a", "done", ISSUED);

    LedgerState restored = new LedgerState();
    restored.restore(ledger.snapshot());

    assertThat(restored.size()).isEqualTo(1);
    assertThat(restored.recordBytes()).isEqualTo(ledger.recordBytes());
  }
}
