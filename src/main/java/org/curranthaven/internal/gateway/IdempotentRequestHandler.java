package org.curranthaven.internal.gateway;

import com.google.protobuf.ByteString;
import org.curranthaven.api.Failure;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.Ran;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.ledger.Ledger;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.wire.StoredAnswer;

/**
 * Runs a call that may not be repeated at most once: claims its key first, keeps its answer, and
 * gives every later caller with the same key that answer.
 */
final class IdempotentRequestHandler {
  /** Largest answer that is kept, in bytes; a longer one is kept as an error that says so. */
  static final int MAX_STORED_RESPONSE_BYTES = 256 * 1024;

  private static final long POLL_INTERVAL_MILLIS = 50;

  private final Ledger ledger;
  private final Router router;
  private final Clock clock;

  IdempotentRequestHandler(Ledger ledger, Router router, Clock clock) {
    this.ledger = ledger;
    this.router = router;
    this.clock = clock;
  }

  /** The call itself; its failure says whether it ran. */
  interface Execution {
    Outcome<StoredAnswer> run() throws InterruptedException;
  }

  /**
   * Runs the call, or finds its answer.
   *
   * @param waitMillis how long to wait for another attempt that is running
   */
  Outcome<StoredAnswer> run(Ledger.ClaimRequest request, long waitMillis, Execution execution)
      throws InterruptedException {
    long deadline = clock.nowMillis() + waitMillis;
    while (true) {
      Outcome<Ledger.Claim> claimed = ledger.claim(request);
      if (claimed instanceof Outcome.Failed<Ledger.Claim> failed) {
        return handleClaimFailure(request, failed.failure());
      }
      switch (((Outcome.Success<Ledger.Claim>) claimed).value()) {
        case Ledger.Claim.Granted granted -> {
          return execute(request, execution);
        }
        case Ledger.Claim.Done done -> {
          return Outcome.success(done.response());
        }
        case Ledger.Claim.Running running -> {
          if (!router.isHostAlive(running.ownerHost(), running.ownerIncarnation())) {
            return Outcome.failed(
                ResultCode.OWNER_LOST,
                "host " + running.ownerHost() + ", which ran the request, is gone");
          }
          if (clock.nowMillis() >= deadline) {
            return Outcome.failed(
                new Failure(
                    ResultCode.DEADLINE_PASSED,
                    Ran.UNKNOWN,
                    "another attempt with the same Idempotency-Key is still running",
                    1_000));
          }
          Thread.sleep(POLL_INTERVAL_MILLIS);
        }
      }
    }
  }

  /** The claim may have been taken: it is given back, since this attempt will not run. */
  private Outcome<StoredAnswer> handleClaimFailure(Ledger.ClaimRequest request, Failure failure) {
    if (failure.code() == ResultCode.CLAIM_UNKNOWN) {
      Thread.ofVirtual().start(() -> releaseClaim(request));
      return Outcome.failed(
          new Failure(failure.code(), Ran.UNKNOWN, failure.message(), failure.retryAfterMillis()));
    }
    if (failure.code() == ResultCode.LEDGER_UNAVAILABLE) {
      return Outcome.failed(IdempotencyErrors.earlierAttemptMayHaveRun(failure));
    }
    return Outcome.failed(failure);
  }

  private void releaseClaim(Ledger.ClaimRequest request) {
    try {
      ledger.release(request);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Outcome<StoredAnswer> execute(Ledger.ClaimRequest request, Execution execution)
      throws InterruptedException {
    Outcome<StoredAnswer> outcome;
    try {
      outcome = execution.run();
    } catch (RuntimeException e) {
      outcome = Outcome.failed(ResultCode.INTERNAL, "the call broke off: " + e);
    }
    switch (outcome) {
      case Outcome.Success<StoredAnswer> success -> {
        ledger.complete(request, toStorable(success.value()));
      }
      case Outcome.Failed<StoredAnswer> failed -> {
        if (failed.failure().ran() == Ran.NO) {
          ledger.release(request);
        } else {
          ledger.complete(request, ErrorBodies.storedResponse(failed.failure()));
        }
      }
    }
    return outcome;
  }

  private static StoredAnswer toStorable(StoredAnswer answer) {
    ByteString body = answer.getBody();
    if (body.size() <= MAX_STORED_RESPONSE_BYTES) {
      return answer;
    }
    return ErrorBodies.storedResponse(
        Failure.of(
            ResultCode.ANSWER_TOO_LARGE,
            "the call ran, but its answer of " + body.size() + " bytes was too large to keep"));
  }
}
