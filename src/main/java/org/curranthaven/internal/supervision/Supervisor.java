package org.curranthaven.internal.supervision;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Runs children, each on its own thread, and restarts those that fail. If a child fails more often
 * than its policy allows, the supervisor fails: it stops all children, and {@link #run} throws an
 * exception with the reason. A supervisor can therefore be a child of another one.
 *
 * <pre>{@code
 * Supervisor root = new Supervisor("host", clock);
 * root.add("consensus", RestartPolicy.standard(), consensusLoop);
 * root.run();
 * }</pre>
 */
public final class Supervisor implements Child {
  private static final long STOP_TIMEOUT_MILLIS = 5_000;

  private final String name;
  private final Clock clock;
  private final Map<String, ChildSpec> specs = new LinkedHashMap<>();
  private final Map<String, ChildStatus> statuses = new ConcurrentHashMap<>();
  private final CountDownLatch failed = new CountDownLatch(1);
  private volatile @Nullable String failureReason;

  private record ChildSpec(RestartPolicy policy, Child child) {}

  /**
   * State of a child for the state dump.
   *
   * @param state {@code running}, {@code restarting}, {@code failed} or {@code stopped}
   * @param restarts number of restarts so far
   * @param lastFailure reason of the latest failure; empty if there was none or the child was
   *     stopped
   */
  public record ChildStatus(String state, int restarts, String lastFailure) {}

  /** Creates a supervisor without children. */
  public Supervisor(String name, Clock clock) {
    this.name = name;
    this.clock = clock;
  }

  /** Adds a child. Must be called before {@link #run}. */
  public Supervisor add(String childName, RestartPolicy policy, Child child) {
    specs.put(childName, new ChildSpec(policy, child));
    return this;
  }

  /** Returns the state of every child by name. */
  public Map<String, ChildStatus> statuses() {
    return new LinkedHashMap<>(statuses);
  }

  /** Returns why this supervisor failed, or null if it has not. */
  public @Nullable String failureReason() {
    return failureReason;
  }

  @Override
  public void run() throws InterruptedException {
    Map<String, Thread> threads = new LinkedHashMap<>();
    specs.forEach((childName, spec) -> threads.put(childName, start(childName, spec)));
    try {
      failed.await();
    } finally {
      stop(threads);
    }
    throw new IllegalStateException("supervisor " + name + " failed: " + failureReason);
  }

  private Thread start(String childName, ChildSpec spec) {
    return Thread.ofPlatform()
        .daemon(true)
        .name(name + "/" + childName)
        .start(() -> supervise(childName, spec));
  }

  private void supervise(String childName, ChildSpec spec) {
    RestartIntensity intensity = new RestartIntensity(spec.policy());
    int restarts = 0;
    String lastFailure = "";
    while (true) {
      statuses.put(childName, new ChildStatus("running", restarts, lastFailure));
      lastFailure = runOnce(spec.child());
      if (lastFailure.isEmpty()) {
        statuses.put(childName, new ChildStatus("stopped", restarts, lastFailure));
        return;
      }
      if (!intensity.mayRestart(clock.nowMillis())) {
        statuses.put(childName, new ChildStatus("failed", restarts, lastFailure));
        fail(
            "child %s keeps failing (more than %d restarts within %d ms): %s"
                .formatted(
                    childName,
                    spec.policy().maxRestarts(),
                    spec.policy().windowMillis(),
                    lastFailure));
        return;
      }
      restarts++;
      Logger.warn(
          "child {}/{} failed; restart {} follows in {} ms: {}",
          name,
          childName,
          restarts,
          spec.policy().delayMillis(),
          lastFailure);
      statuses.put(childName, new ChildStatus("restarting", restarts, lastFailure));
      if (!sleep(spec.policy().delayMillis())) {
        return;
      }
    }
  }

  /**
   * Runs the child once; returns why it failed, or an empty string if it was interrupted. An error
   * counts as a failure too: the thread would otherwise end without a restart.
   */
  @SuppressWarnings("CatchingUnchecked")
  private static String runOnce(Child child) {
    try {
      child.run();
      return Thread.currentThread().isInterrupted() ? "" : "returned without being interrupted";
    } catch (InterruptedException e) {
      return "";
    } catch (Exception | Error e) {
      return e.toString();
    }
  }

  private static boolean sleep(long millis) {
    try {
      Thread.sleep(millis);
      return true;
    } catch (InterruptedException e) {
      return false;
    }
  }

  private synchronized void fail(String reason) {
    if (failureReason == null) {
      failureReason = reason;
      Logger.error("supervisor {} failed and stops its children: {}", name, reason);
      failed.countDown();
    }
  }

  private static void stop(Map<String, Thread> threads) {
    // Stops the children in reverse order, because later ones use earlier ones.
    Thread[] inStartOrder = threads.values().toArray(Thread[]::new);
    for (int i = inStartOrder.length - 1; i >= 0; i--) {
      inStartOrder[i].interrupt();
      try {
        inStartOrder[i].join(STOP_TIMEOUT_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
