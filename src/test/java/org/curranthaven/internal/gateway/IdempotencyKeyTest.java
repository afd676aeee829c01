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
  private static final long NOW_EPOCH_MILLIS = 1_764_800_000_123L;

  private static Outcome<IdempotencyKey> key(
      @Nullable String header, @Nullable String issuedAtHeader) {
    return IdempotencyKey.of(header, issuedAtHeader, NOW_EPOCH_MILLIS, new SplittableRandom(1));
  }

  @Test
  void issue_time_is_read_from_a_version_7_uuid() {
    String uuid = IdempotencyKey.uuidWithTime(NOW_EPOCH_MILLIS, new SplittableRandom(3)).toString();

    assertThat(key(uuid, null))
        .isEqualTo(Outcome.success(new IdempotencyKey(uuid, NOW_EPOCH_MILLIS, true)));
  }

  @Test
  void other_key_requires_the_issued_at_header() {
    assertThat(key("seat-7", "1764800000000"))
        .isEqualTo(Outcome.success(new IdempotencyKey("seat-7", 1_764_800_000_000L, true)));
    assertThat(key("seat-7", null))
        .isInstanceOfSatisfying(
            Outcome.Failed.class,
            failed -> assertThat(failed.failure().code()).isEqualTo(ResultCode.KEY_WITHOUT_TIME));
  }

  @Test
  void request_without_a_key_gets_a_generated_key() {
    assertThat(key(null, null))
        .isInstanceOfSatisfying(
            Outcome.Success.class,
            success -> assertThat(((IdempotencyKey) success.value()).fromCaller()).isFalse());
  }

  @Test
  void resent_request_whose_key_was_not_looked_up_is_not_reported_as_not_run() {
    Failure rejection = Failure.of(ResultCode.HOST_DRAINING, "this host is draining");

    assertThat(IdempotencyErrors.earlierAttemptMayHaveRun(rejection).ran()).isEqualTo(Ran.UNKNOWN);
  }
}
