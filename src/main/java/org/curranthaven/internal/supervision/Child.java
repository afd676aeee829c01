package org.curranthaven.internal.supervision;

/** A long-lived part of a process. */
@FunctionalInterface
public interface Child {
  /**
   * Runs until the thread is interrupted. Returning or throwing earlier counts as a failure.
   *
   * @throws InterruptedException when asked to stop
   * @throws Exception when the part has failed and may be started again
   */
  void run() throws Exception;
}
