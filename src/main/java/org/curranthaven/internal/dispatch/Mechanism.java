package org.curranthaven.internal.dispatch;

/**
 * Mechanisms of the dispatch core that can be switched off one at a time, to measure what each is
 * worth.
 */
public enum Mechanism {
  /** Requests wait for capacity; otherwise they are rejected at once. */
  QUEUE,
  /** The queue is ordered by due times; otherwise by arrival. */
  DUE_TIME_ORDER,
  /** Memory for outputs still to come is reserved; otherwise only memory in use counts. */
  MEMORY_FORECAST,
  /** Irreplaceable requests get backup copies on other engines. */
  BACKUP_COPIES,
  /** Requests are migrated away from leaving engines. */
  MIGRATION,
  /** Engines that may have cached parts of the prompt are preferred. */
  PROMPT_AFFINITY,
  /** Backend servers that fail more often than their peers get no requests for a while. */
  EJECTION,
  /** A request that cannot be in time is rejected when it arrives, not when its time is up. */
  EARLY_REJECTION,
  /** A request that will be late runs if no other request needs the capacity. */
  LATE_PLACEMENT,
  /** Speeds and output lengths are learnt; otherwise the start values hold. */
  LEARNING,
  /** Requests are placed by the capacity of each server, where servers state their slowness. */
  SERVER_CAPACITY
}
