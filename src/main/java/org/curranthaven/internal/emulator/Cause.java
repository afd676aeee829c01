package org.curranthaven.internal.emulator;

/** Why a request was not served in time. */
public enum Cause {
  IN_TIME,
  /** Rejected, and the caller did not come back or was rejected again. */
  REJECTED,
  /** The first reply was late, mostly by the time in the queue. */
  LATE_BY_QUEUE,
  /** The first reply was late, mostly by prompts that the engine processed before. */
  LATE_BY_PROMPTS,
  /** A pause of the stream was too long after a migration or a resumption. */
  LATE_BY_MIGRATION,
  /** A pause of the stream was too long on one engine. */
  LATE_BY_PAUSE,
  /** The engine was lost, and there was no backup copy. */
  LOST_WITHOUT_COPY,
  /** The request ran when all hosts were lost, or arrived while they were down. */
  HOSTS_LOST,
  /** The backend server failed the request, and it may not run again. */
  BACKEND_FAILED,
  /** The caller left before an answer, or the deadline passed. */
  ABANDONED
}
