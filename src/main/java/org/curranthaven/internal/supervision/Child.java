package org.curranthaven.internal.supervision;

/** Long-running component of a process that a {@link Supervisor} runs and restarts. */
@FunctionalInterface
public interface Child {
  /**
   * Runs until the thread is interrupted. Returning or throwing before that counts as a failure.
   *
   * @throws InterruptedException if the thread is interrupted to stop the component
   * @throws Exception if the component has failed; it may be restarted
   */
  void run() throws Exception;
}
