package org.curranthaven.internal.gateway;

import com.google.protobuf.ByteString;
import org.curranthaven.api.Failure;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.Ran;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.ledger.Ledger;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.wire.StoredResponse;

/**
 * Runs a request that must not be repeated at most once: claims its key before it runs, stores its
 * response, and returns the stored response to every later request with the same key.
 */
final class IdempotentRequestHandler {
  /** Largest stored response, in bytes; for a larger one an error is stored instead. */
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

  /** Execution of the request; a failure reports whether it ran. */
  interface Execution {
    Outcome<StoredResponse> run() throws InterruptedException;
  }

  /**
   * Runs the request, or returns its stored response.
   *
   * @param request key of the request and the attempt that claims it
   * @param waitMillis longest time to wait for another request with the same key that is running
   * @param execution called if this attempt gets the claim
   */
  Outcome<StoredResponse> run(Ledger.ClaimRequest request, long waitMillis, Execution execution)
      throws InterruptedException {
    long deadlineMillis = clock.nowMillis() + waitMillis;
    while (true) {
      Outcome<Ledger.Claim> claim = ledger.claim(request);
      if (claim instanceof Outcome.Failed<Ledger.Claim> failed) {
        return handleClaimFailure(request, failed.failure());
      }
      switch (((Outcome.Success<Ledger.Claim>) claim).value()) {
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
                "host " + running.ownerHost() + ", which was running the request, is unavailable");
          }
          if (clock.nowMillis() >= deadlineMillis) {
            return Outcome.failed(
                new Failure(
                    ResultCode.DEADLINE_PASSED,
                    Ran.UNKNOWN,
                    "another request with the same Idempotency-Key is still running after "
                        + waitMillis
                        + " ms",
                    1_000));
          }
          Thread.sleep(POLL_INTERVAL_MILLIS);
        }
      }
    }
  }

  /** Releases a claim that may have been granted, since this attempt will not run. */
  private Outcome<StoredResponse> handleClaimFailure(Ledger.ClaimRequest request, Failure failure) {
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

  private Outcome<StoredResponse> execute(Ledger.ClaimRequest request, Execution execution)
      throws InterruptedException {
    Outcome<StoredResponse> outcome;
    try {
      outcome = execution.run();
    } catch (RuntimeException e) {
      outcome = Outcome.failed(ResultCode.INTERNAL, "the request failed unexpectedly: " + e);
    }
    switch (outcome) {
      case Outcome.Success<StoredResponse> success -> {
        ledger.complete(request, toStorable(success.value()));
      }
      case Outcome.Failed<StoredResponse> failed -> {
        if (failed.failure().ran() == Ran.NO) {
          ledger.release(request);
        } else {
          ledger.complete(request, ErrorBodies.storedResponse(failed.failure()));
        }
      }
    }
    return outcome;
  }

  private static StoredResponse toStorable(StoredResponse response) {
    ByteString body = response.getBody();
    if (body.size() <= MAX_STORED_RESPONSE_BYTES) {
      return response;
    }
    return ErrorBodies.storedResponse(
        Failure.of(
            ResultCode.ANSWER_TOO_LARGE,
            "the request ran, but its response of "
                + body.size()
                + " bytes exceeds the limit of "
                + MAX_STORED_RESPONSE_BYTES
                + " bytes for stored responses"));
  }
}
