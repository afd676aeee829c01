package org.curranthaven.platform;

import java.util.Set;

/** Names of the platform's headers, under the project's terms. */
final class Headers {
  /** Id of a request, not of an attempt: all attempts of a request carry the same id. */
  static final String REQUEST_ID = "Attempt-Id";

  /** Time left until the response must be complete, in milliseconds. */
  static final String DEADLINE = "Deadline-Ms";

  /** Parts of the prompt in order, as {@code id:tokens} separated by commas. */
  static final String PROMPT_PARTS = "Prompt-Prefix";

  /** Id of the event after which a stream resumes. */
  static final String LAST_EVENT_ID = "Last-Event-Id";

  /** Id of the request whose response brought the first event of a stream that is taken up. */
  static final String RESUMED_REQUEST_ID = "Resumes";

  /** Marks a response as coming from the backend server itself. */
  static final String RESPONSE_SEAL = "Response-Seal";

  /** Name of the caller's workspace. */
  static final String WORKSPACE = "Tenant";

  /** Id of the backend server that the request is meant for. */
  static final String EXPECTED_BACKEND = "Expect-Instance";

  /** Name of the backend server that responds to a health check. */
  static final String RESPONDING_BACKEND = "Runner-Id";

  /** States that the request did not run and will not run. */
  static final String NOT_RUN = "Not-Executed";

  /** Requests a second that a backend server accepts from all hosts together. */
  static final String RATE_LIMIT = "Server-Limit";

  /**
   * Load of a backend server, as {@code running,waiting,slots} or {@code
   * running,waiting,slots,percent}; the percentage is the time that work takes on its machine at
   * this moment compared with the usual time.
   */
  static final String SERVER_LOAD = "Runner-Load";

  /** States that a backend server leaves. */
  static final String LEAVING = "Server-Leaving";

  /** Length of the prompt and limit on the output, separated by a comma. */
  static final String TOKEN_COUNTS = "Token-Count";

  /** Rank among the requests of an engine, 0 being the most urgent. */
  static final String URGENCY = "Request-Urgency";

  /** Output length that the caller expects, in tokens. */
  static final String OUTPUT_LENGTH_HINT = "Length-Hint";

  /** Key of the caller's workspace. */
  static final String WORKSPACE_KEY = "X-Api-Key";

  /** Where an engine gets the state of a running request from, as {@code address/handle}. */
  static final String STATE_REFERENCE = "Kv-From";

  /** Address of the engine that keeps the backup copy of the request. */
  static final String BACKUP_ADDRESS = "Kv-Backup";

  /**
   * Lower-case names of headers that are not forwarded from a caller: those that only this system
   * or a backend server sets, and the key, in whose place the workspace is sent.
   */
  static final Set<String> RESERVED =
      Set.of(
          "x-api-key",
          "tenant",
          "expect-instance",
          "expect-version",
          "request-urgency",
          "deadline-ms",
          "pin-ms",
          "hold",
          "kv-backup",
          "kv-from",
          "kv-fetch",
          "not-executed",
          "response-seal",
          "runner-id",
          "runner-load",
          "server-limit",
          "server-leaving");

  private Headers() {}
}
