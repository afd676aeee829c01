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
import org.curranthaven.internal.transport.wire.StoredAnswer;

/** One call of a plain service, with retries where the class and the attempts allow them. */
final class ServiceRequestHandler {
  /** Shortest time that an attempt of a repeatable call gets, in milliseconds. */
  private static final long MIN_ATTEMPT_MILLIS = 250;

  private static final int MAX_ATTEMPTS = 4;

  private final GatewayServices context;
  private final ServiceClient client;
  private final ServiceClass serviceClass;

  ServiceRequestHandler(GatewayServices context, ServiceClient client, ServiceClass serviceClass) {
    this.context = context;
    this.client = client;
    this.serviceClass = serviceClass;
  }

  /** Runs the call to its end. */
  Outcome<StoredAnswer> run(
      String requestName, RequestAttributes first, ServiceClient.ServiceRequest request)
      throws InterruptedException {
    Router router = context.router();
    Set<String> excluded = new HashSet<>();
    boolean mayHaveRun = false;
    router.requested(serviceClass.name());
    for (int attempts = 1; ; attempts++) {
      Outcome<Assignment> routed =
          router.route(first.attempt(router.nextRequestId(), 0, excluded), requestName);
      if (routed instanceof Outcome.Failed<Assignment> failed) {
        return Outcome.failed(withEarlierAttempts(failed.failure(), mayHaveRun));
      }
      Assignment assignment = ((Outcome.Success<Assignment>) routed).value();
      ServiceClient.AttemptResult attempt = attempt(assignment, first, request, attempts > 1);
      String reason;
      switch (attempt) {
        case ServiceClient.AttemptResult.Responded answered -> {
          return Outcome.success(answered.response());
        }
        case ServiceClient.AttemptResult.Rejected refused -> reason = refused.reason();
        case ServiceClient.AttemptResult.OutcomeUnknown unknown -> {
          mayHaveRun = true;
          reason = unknown.reason();
          if (!serviceClass.repeatable()) {
            return Outcome.failed(ResultCode.OUTCOME_UNKNOWN, "the service's outcome: " + reason);
          }
        }
      }
      excluded.add(assignment.backend().name());
      long wait = attempts < MAX_ATTEMPTS ? router.tryRetry(serviceClass.name(), attempts) : -1;
      if (wait < 0) {
        Failure spent =
            Failure.retryLater(
                ResultCode.RETRY_BUDGET_SPENT,
                "attempt " + attempts + " failed (" + reason + ") and no retry is left",
                1_000);
        return Outcome.failed(withEarlierAttempts(spent, mayHaveRun));
      }
      context.metrics().retried(serviceClass.name());
      Thread.sleep(wait);
    }
  }

  private static Failure withEarlierAttempts(Failure failure, boolean mayHaveRun) {
    return mayHaveRun && failure.ran() == Ran.NO
        ? new Failure(failure.code(), Ran.UNKNOWN, failure.message(), failure.retryAfterMillis())
        : failure;
  }

  private ServiceClient.AttemptResult attempt(
      Assignment assignment,
      RequestAttributes first,
      ServiceClient.ServiceRequest request,
      boolean fresh)
      throws InterruptedException {
    Clock clock = context.clock();
    long left = Math.max(MIN_ATTEMPT_MILLIS, first.responseDueMillis() - clock.nowMillis());
    long timeout =
        serviceClass.repeatable()
            ? Math.min(left, Math.max(MIN_ATTEMPT_MILLIS, first.targets().firstReplyMillis()))
            : left;
    RequestOutcome ending = RequestOutcome.FAILED;
    try {
      ServiceClient.AttemptResult attempt =
          client.send(assignment.backend().address(), request, timeout, fresh);
      ending =
          switch (attempt) {
            case ServiceClient.AttemptResult.Responded answered -> RequestOutcome.COMPLETED;
            case ServiceClient.AttemptResult.Rejected refused -> RequestOutcome.REFUSED;
            case ServiceClient.AttemptResult.OutcomeUnknown unknown -> RequestOutcome.FAILED;
          };
      return attempt;
    } finally {
      context.router().finished(assignment.requestId(), 1, ending);
    }
  }
}
