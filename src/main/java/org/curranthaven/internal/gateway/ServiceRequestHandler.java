package org.curranthaven.internal.gateway;

import java.util.HashSet;
import java.util.Set;
import org.curranthaven.api.Failure;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.Ran;
import org.curranthaven.api.ResultCode;
import org.curranthaven.api.ServiceClass;
import org.curranthaven.internal.routing.RequestAttributes;
import org.curranthaven.internal.routing.RoutingEvent.RequestOutcome;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.wire.StoredResponse;

/**
 * Handles one request to a plain service, with retries if the class and the results of earlier
 * attempts allow them. Runs on the caller's virtual thread.
 */
final class ServiceRequestHandler {
  /** Smallest timeout of an attempt, in milliseconds. */
  private static final long MIN_ATTEMPT_TIMEOUT_MILLIS = 250;

  private static final int MAX_ATTEMPTS = 4;

  private final GatewayServices services;
  private final ServiceClient client;
  private final ServiceClass serviceClass;

  ServiceRequestHandler(GatewayServices services, ServiceClient client, ServiceClass serviceClass) {
    this.services = services;
    this.client = client;
    this.serviceClass = serviceClass;
  }

  /** Runs the request until it succeeds or fails. */
  Outcome<StoredResponse> run(
      String externalRequestId, RequestAttributes attributes, ServiceClient.ServiceRequest request)
      throws InterruptedException {
    Router router = services.router();
    Set<String> excludedBackends = new HashSet<>();
    boolean mayHaveRun = false;
    router.requested(serviceClass.name());
    for (int attempts = 1; ; attempts++) {
      Outcome<Assignment> placement =
          router.route(
              attributes.attempt(router.nextRequestId(), 0, excludedBackends), externalRequestId);
      if (placement instanceof Outcome.Failed<Assignment> failed) {
        return Outcome.failed(withEarlierAttempts(failed.failure(), mayHaveRun));
      }
      Assignment assignment = ((Outcome.Success<Assignment>) placement).value();
      ServiceClient.AttemptResult result = attempt(assignment, attributes, request, attempts > 1);
      String reason;
      switch (result) {
        case ServiceClient.AttemptResult.Responded responded -> {
          return Outcome.success(responded.response());
        }
        case ServiceClient.AttemptResult.Rejected rejected -> reason = rejected.reason();
        case ServiceClient.AttemptResult.OutcomeUnknown unknown -> {
          mayHaveRun = true;
          reason = unknown.reason();
          if (!serviceClass.repeatable()) {
            return Outcome.failed(
                ResultCode.OUTCOME_UNKNOWN,
                "the service may have run the request, which must not be repeated: " + reason);
          }
        }
      }
      excludedBackends.add(assignment.backend().name());
      long retryDelayMillis =
          attempts < MAX_ATTEMPTS ? router.tryRetry(serviceClass.name(), attempts) : -1;
      if (retryDelayMillis < 0) {
        Failure noRetryLeft =
            Failure.retryLater(
                ResultCode.RETRY_BUDGET_SPENT,
                ("attempt %d failed (%s), and the limit of %d attempts or the retry budget of class '%s'"
                        + " is reached")
                    .formatted(attempts, reason, MAX_ATTEMPTS, serviceClass.name()),
                1_000);
        return Outcome.failed(withEarlierAttempts(noRetryLeft, mayHaveRun));
      }
      services.metrics().retried(serviceClass.name());
      Thread.sleep(retryDelayMillis);
    }
  }

  /** Returns the failure, corrected if an earlier attempt may have run. */
  private static Failure withEarlierAttempts(Failure failure, boolean mayHaveRun) {
    return mayHaveRun && failure.ran() == Ran.NO
        ? new Failure(failure.code(), Ran.UNKNOWN, failure.message(), failure.retryAfterMillis())
        : failure;
  }

  private ServiceClient.AttemptResult attempt(
      Assignment assignment,
      RequestAttributes attributes,
      ServiceClient.ServiceRequest request,
      boolean newConnection)
      throws InterruptedException {
    Clock clock = services.clock();
    long remainingMillis =
        Math.max(MIN_ATTEMPT_TIMEOUT_MILLIS, attributes.responseDueMillis() - clock.nowMillis());
    long timeoutMillis =
        serviceClass.repeatable()
            ? Math.min(
                remainingMillis,
                Math.max(MIN_ATTEMPT_TIMEOUT_MILLIS, attributes.targets().firstReplyMillis()))
            : remainingMillis;
    RequestOutcome outcome = RequestOutcome.FAILED;
    try {
      ServiceClient.AttemptResult result =
          client.send(assignment.backend().address(), request, timeoutMillis, newConnection);
      outcome =
          switch (result) {
            case ServiceClient.AttemptResult.Responded responded -> RequestOutcome.COMPLETED;
            case ServiceClient.AttemptResult.Rejected rejected -> RequestOutcome.REFUSED;
            case ServiceClient.AttemptResult.OutcomeUnknown unknown -> RequestOutcome.FAILED;
          };
      return result;
    } finally {
      services.router().finished(assignment.requestId(), 1, outcome);
    }
  }
}
