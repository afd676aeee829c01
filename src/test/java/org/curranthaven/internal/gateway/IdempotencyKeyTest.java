package org.curranthaven.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.curranthaven.api.Failure;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.Ran;
import org.curranthaven.api.ResultCode;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

class IdempotencyKeyTest {
  private static final long NOW = 1_764_800_000_123L;

  private static Outcome<IdempotencyKey> key(@Nullable String header, @Nullable String issuedAt) {
    return IdempotencyKey.of(header, issuedAt, NOW, new SplittableRandom(1));
  }

  @Test
  void a_uuid_of_version_7_tells_when_it_was_issued() {
    String uuid = IdempotencyKey.uuidWithTime(NOW, new SplittableRandom(3)).toString();

    assertThat(key(uuid, null)).isEqualTo(Outcome.success(new IdempotencyKey(uuid, NOW, true)));
  }

  @Test
  void another_key_needs_a_header_that_tells_when_it_was_issued() {
    assertThat(key("seat-7", "1764800000000"))
        .isEqualTo(Outcome.success(new IdempotencyKey("seat-7", 1_764_800_000_000L, true)));
    assertThat(key("seat-7", null))
        .isInstanceOfSatisfying(
            Outcome.Failed.class,
            failed -> assertThat(failed.failure().code()).isEqualTo(ResultCode.KEY_WITHOUT_TIME));
  }

  @Test
  void a_call_without_a_key_gets_one_of_its_own() {
    assertThat(key(null, null))
        .isInstanceOfSatisfying(
            Outcome.Success.class,
            success -> assertThat(((IdempotencyKey) success.value()).fromCaller()).isFalse());
  }

  @Test
  void a_resent_request_that_was_not_looked_up_is_not_said_not_to_have_run() {
    Failure refused = Failure.of(ResultCode.HOST_DRAINING, "this host is stopping");

    assertThat(IdempotencyErrors.earlierAttemptMayHaveRun(refused).ran()).isEqualTo(Ran.UNKNOWN);
  }
}
