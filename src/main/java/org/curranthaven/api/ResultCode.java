package org.curranthaven.api;

/**
 * Numbered results of requests and commands. A test keeps the table in {@code docs/RESULT_CODES.md}
 * equal to this list.
 *
 * <p>Example:
 *
 * <pre>{@code
 * Failure failure = Failure.of(ResultCode.UNKNOWN_MODEL, "model 'storyy' is not configured");
 * int status = failure.code().httpStatus();
 * }</pre>
 */
public enum ResultCode {
  MALFORMED_BODY(1001, 400, 65, Ran.NO, "Send a JSON object in the completions format."),
  UNKNOWN_CLASS(1002, 400, 65, Ran.NO, "Name a configured class, or omit the header."),
  UNKNOWN_MODEL(1003, 404, 65, Ran.NO, "List the configured models with GET /v1/models."),
  BAD_KEY(1004, 401, 77, Ran.NO, "Send the workspace's key as 'Authorization: Bearer KEY'."),
  BODY_TOO_LARGE(1005, 413, 65, Ran.NO, "Send a smaller body."),
  INVALID_PARAMETER(1006, 400, 65, Ran.NO, "Correct the named parameter."),
  UNKNOWN_SERVICE(1007, 404, 65, Ran.NO, "Name a configured plain service in the path."),
  KEY_REUSED(1008, 422, 65, Ran.NO, "Use a new Idempotency-Key for a different request."),
  KEY_TOO_OLD(
      1009,
      422,
      65,
      Ran.NO,
      "Check the outcome of the earlier request, then use a new UUIDv7 key."),
  KEY_WITHOUT_TIME(
      1010, 400, 65, Ran.NO, "Use a UUIDv7, or add the header Curranthaven-Issued-At."),
  METHOD_NOT_ALLOWED(1011, 405, 65, Ran.NO, "Use POST for a request that must not be repeated."),
  UNKNOWN_PATH(1012, 404, 65, Ran.NO, "See docs/operations/http.md for the paths served."),
  BODY_TOO_SLOW(1013, 408, 65, Ran.NO, "Send the whole body without pausing."),
  NO_BACKEND(2001, 503, 69, Ran.NO, "Retry after the time in Retry-After."),
  SHED(2002, 503, 75, Ran.NO, "Retry after the time in Retry-After."),
  WORKSPACE_LIMIT(2003, 429, 75, Ran.NO, "Retry after the time in Retry-After."),
  HOST_DRAINING(
      2004, 503, 75, Ran.NO, "Retry immediately; the load balancer will choose another host."),
  HOST_NOT_FRESH(2005, 503, 75, Ran.NO, "Retry; another host may have the active configuration."),
  RETRY_BUDGET_SPENT(2006, 503, 75, Ran.NO, "Retry after the time in Retry-After."),
  NO_BACKEND_IN_REGIONS(
      2007, 503, 69, Ran.NO, "Allow a region in which the service has backend servers."),
  ENGINE_LOST(
      3001,
      502,
      75,
      Ran.YES,
      "Send the request again; the response delivered so far is incomplete."),
  OUTCOME_UNKNOWN(
      3002,
      502,
      75,
      Ran.UNKNOWN,
      "Resend with the same Idempotency-Key, or check the effect manually."),
  BACKEND_FAILED(3003, 502, 75, Ran.YES, "See the log of the backend server."),
  BACKEND_REFUSED(3004, 503, 75, Ran.NO, "Retry after the time in Retry-After."),
  ANSWER_TOO_LARGE(3006, 502, 65, Ran.YES, "Request a shorter response or use a stream."),
  DEADLINE_PASSED(
      3007,
      504,
      75,
      Ran.UNKNOWN,
      "Raise answerMillis of the class, or request a shorter response."),
  LEDGER_UNAVAILABLE(4001, 503, 69, Ran.NO, "Retry; the control hosts currently have no leader."),
  OWNER_LOST(4002, 409, 75, Ran.UNKNOWN, "Check manually whether the request took effect."),
  REVISION_CONFLICT(
      4003, 409, 75, Ran.NO, "Read the current revision and submit the change again."),
  CONFIGURATION_INVALID(4004, 422, 65, Ran.NO, "Correct the named parts of the change."),
  CHANGE_UNKNOWN(4005, 503, 75, Ran.UNKNOWN, "Resend the change with the same change id."),
  CLAIM_UNKNOWN(4006, 503, 75, Ran.NO, "Resend with the same Idempotency-Key."),
  SETTINGS_INVALID(5001, 400, 78, Ran.NO, "Correct each named key; see 'settings example'."),
  DATA_FOLDER_LOCKED(
      5002, 500, 73, Ran.NO, "Stop the other process, or give this one its own data folder."),
  DATA_DAMAGED(5003, 500, 74, Ran.NO, "Empty the data folder; the host then joins as a new one."),
  HOST_UNREACHABLE(5004, 503, 69, Ran.NO, "Check --host and that the process is running."),
  USAGE(5005, 400, 64, Ran.NO, "See --help."),
  PROMISE_BROKEN(
      5006,
      500,
      1,
      Ran.NO,
      "Look up the promise in the promises table; keep the trace and report it."),
  TARGETS_NOT_MET(
      5007, 200, 2, Ran.NO, "See the row of the class: it shows which classes yield to which."),
  REPLAY_DIFFERS(5008, 500, 3, Ran.NO, "Compare the printed outcomes with the expected file."),
  STORAGE_FAILED(
      5009, 500, 74, Ran.NO, "Repair the data folder; the host then resumes automatically."),
  INTERNAL(6001, 500, 70, Ran.UNKNOWN, "Keep the dump and report it.");

  private final int number;
  private final int httpStatus;
  private final int exitCode;
  private final Ran ran;
  private final String nextStep;

  ResultCode(int number, int httpStatus, int exitCode, Ran ran, String nextStep) {
    this.number = number;
    this.httpStatus = httpStatus;
    this.exitCode = exitCode;
    this.ran = ran;
    this.nextStep = nextStep;
  }

  /** Returns the number of the code; the meaning of a number never changes. */
  public int number() {
    return number;
  }

  /** Returns the HTTP status of responses with this code. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns the exit code of a command that ends with this result. */
  public int exitCode() {
    return exitCode;
  }

  /** Returns whether a request that ends with this code ran, unless an earlier attempt may have. */
  public Ran ran() {
    return ran;
  }

  /** Returns what the caller or operator should do next. */
  public String nextStep() {
    return nextStep;
  }
}
