package org.curranthaven.internal.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import org.curranthaven.internal.transport.wire.ClaimCommand;
import org.curranthaven.internal.transport.wire.ClaimResult;
import org.curranthaven.internal.transport.wire.ClaimVerdict;
import org.curranthaven.internal.transport.wire.CompleteCommand;
import org.curranthaven.internal.transport.wire.LedgerCommand;
import org.curranthaven.internal.transport.wire.ReleaseCommand;
import org.curranthaven.internal.transport.wire.StoredResponse;
import org.junit.jupiter.api.Test;

class LedgerStateTest {
  private static final long ISSUED_AT_MILLIS = 1_000_000;

  private final LedgerState ledger = new LedgerState();

  private ClaimResult claim(String token, String body, long nowMillis) {
    return ledger.apply(
        LedgerCommand.newBuilder()
            .setNowMillis(nowMillis)
            .setClaim(
                ClaimCommand.newBuilder()
                    .setWorkspace("lounge")
                    .setKey("seat-7")
                    .setIssuedAtMillis(ISSUED_AT_MILLIS)
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
                    .setAnswer(StoredResponse.newBuilder().setBody(ByteString.copyFromUtf8(body))))
            .build());
  }

  private void release(String token) {
    ledger.apply(
        LedgerCommand.newBuilder()
            .setNowMillis(ISSUED_AT_MILLIS)
            .setRelease(
                ReleaseCommand.newBuilder().setWorkspace("lounge").setKey("seat-7").setToken(token))
            .build());
  }

  @Test
  void a_request_is_granted_to_one_attempt_only() {
    assertThat(claim("a", "hold", ISSUED_AT_MILLIS).getVerdict())
        .isEqualTo(ClaimVerdict.CLAIM_VERDICT_GRANTED);
    assertThat(claim("b", "hold", ISSUED_AT_MILLIS).getVerdict())
        .isEqualTo(ClaimVerdict.CLAIM_VERDICT_RUNNING);
    assertThat(claim("b", "hold", ISSUED_AT_MILLIS).getRecord().getOwnerHost()).isEqualTo("host-a");
  }

  @Test
  void a_claim_whose_reply_was_lost_is_granted_again_to_the_same_attempt() {
    claim("a", "hold", ISSUED_AT_MILLIS);

    assertThat(claim("a", "hold", ISSUED_AT_MILLIS).getVerdict())
        .isEqualTo(ClaimVerdict.CLAIM_VERDICT_GRANTED);
  }

  @Test
  void a_resent_request_gets_the_stored_response() {
    claim("a", "hold", ISSUED_AT_MILLIS);
    complete("a", "seat 7 is yours", ISSUED_AT_MILLIS);

    ClaimResult resend = claim("b", "hold", ISSUED_AT_MILLIS);

    assertThat(resend.getVerdict()).isEqualTo(ClaimVerdict.CLAIM_VERDICT_DONE);
    assertThat(resend.getRecord().getAnswer().getBody().toStringUtf8())
        .isEqualTo("seat 7 is yours");
  }

  @Test
  void a_key_used_for_another_request_is_rejected() {
    claim("a", "hold", ISSUED_AT_MILLIS);

    assertThat(claim("b", "charge", ISSUED_AT_MILLIS).getVerdict())
        .isEqualTo(ClaimVerdict.CLAIM_VERDICT_KEY_REUSED);
  }

  @Test
  void a_released_claim_may_be_granted_again() {
    claim("a", "hold", ISSUED_AT_MILLIS);
    release("a");

    assertThat(claim("b", "hold", ISSUED_AT_MILLIS).getVerdict())
        .isEqualTo(ClaimVerdict.CLAIM_VERDICT_GRANTED);
  }

  @Test
  void only_the_owner_can_release_or_complete_a_claim() {
    claim("a", "hold", ISSUED_AT_MILLIS);
    release("b");
    complete("b", "forged", ISSUED_AT_MILLIS);

    assertThat(claim("c", "hold", ISSUED_AT_MILLIS).getVerdict())
        .isEqualTo(ClaimVerdict.CLAIM_VERDICT_RUNNING);
  }

  @Test
  void evicting_a_claim_never_allows_a_second_execution() {
    claim("a", "hold", ISSUED_AT_MILLIS);
    long retentionEnd = ISSUED_AT_MILLIS + LedgerState.RETENTION_MILLIS;

    assertThat(claim("b", "hold", retentionEnd).getVerdict())
        .isEqualTo(ClaimVerdict.CLAIM_VERDICT_TOO_OLD);
    assertThat(ledger.size()).isZero();
    assertThat(claim("b", "hold", ISSUED_AT_MILLIS).getVerdict())
        .as("the clock of the ledger state does not go back")
        .isEqualTo(ClaimVerdict.CLAIM_VERDICT_TOO_OLD);
  }

  @Test
  void a_snapshot_contains_all_records() {
    claim("a", "hold", ISSUED_AT_MILLIS);
    complete("a", "done", ISSUED_AT_MILLIS);

    LedgerState restored = new LedgerState();
    restored.restore(ledger.snapshot());

    assertThat(restored.size()).isEqualTo(1);
    assertThat(restored.recordBytes()).isEqualTo(ledger.recordBytes());
  }
}
