package org.curranthaven.platform;

import java.util.Set;

/** Names of the platform's headers. */
final class Headers {
  static final String REQUEST_ID = "Attempt-Id";
  static final String DEADLINE = "Deadline-Ms";
  static final String PROMPT_PARTS = "Prompt-Prefix";
  static final String LAST_EVENT_ID = "Last-Event-Id";
  static final String RESPONSE_SEAL = "Response-Seal";
  static final String WORKSPACE = "Tenant";
  static final String EXPECTED_BACKEND = "Expect-Instance";
  static final String NOT_RUN = "Not-Executed";
  static final String MODEL = "Model";
  static final String TOKEN_COUNTS = "Token-Count";
  static final String URGENCY = "Request-Urgency";
  static final String OUTPUT_LENGTH_HINT = "Length-Hint";
  static final String WORKSPACE_KEY = "X-Api-Key";
  static final String STATE_REFERENCE = "Kv-From";
  static final String BACKUP_ADDRESS = "Kv-Backup";

  /** Headers that only this system sets; what callers send under these names is dropped. */
  static final Set<String> SET_BY_SYSTEM =
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
          "runner-load");

  private Headers() {}
}
