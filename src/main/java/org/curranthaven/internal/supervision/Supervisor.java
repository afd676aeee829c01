package org.curranthaven.internal.supervision;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Runs children, each on its own thread, and restarts those that fail. A child that fails too often
 * takes the supervisor down: all children are stopped and {@link #run} fails with the reason, so
 * that a supervisor is itself a child of the one above it.
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
   * State of a child for the dump.
   *
   * @param state {@code running}, {@code restarting}, {@code failed} or {@code stopped}
   * @param restarts how often it was restarted
   * @param lastFailure reason of the latest failure, empty when there was none
   */
  public record ChildStatus(String state, int restarts, String lastFailure) {}

  /** Creates a supervisor without children. */
  public Supervisor(String name, Clock clock) {
    this.name = name;
    this.clock = clock;
  }

  /** Adds a child; to be called before {@link #run}. */
  public Supervisor add(String childName, RestartPolicy policy, Child child) {
    specs.put(childName, new ChildSpec(policy, child));
    return this;
  }

  /** Returns the state of every child by name. */
  public Map<String, ChildStatus> statuses() {
    return new LinkedHashMap<>(statuses);
  }

  /** Returns why this supervisor went down, or null while it runs. */
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
    throw new IllegalStateException(name + ": " + failureReason);
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
        fail(childName + " keeps failing: " + lastFailure);
        return;
      }
      restarts++;
      Logger.warn("{}/{} failed and is started again: {}", name, childName, lastFailure);
      statuses.put(childName, new ChildStatus("restarting", restarts, lastFailure));
      if (!sleep(spec.policy().delayMillis())) {
        return;
      }
    }
  }

  /** Runs the child once; returns why it failed, or an empty text when it was asked to stop. */
  @SuppressWarnings("CatchingUnchecked")
  private static String runOnce(Child child) {
    try {
      child.run();
      return Thread.currentThread().isInterrupted() ? "" : "returned without being asked to stop";
    } catch (InterruptedException e) {
      return "";
    } catch (Exception e) {
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
      Logger.error("{} goes down: {}", name, reason);
      failed.countDown();
    }
  }

  private static void stop(Map<String, Thread> threads) {
    // Children are stopped in reverse order, since later ones use earlier ones.
    Thread[] all = threads.values().toArray(Thread[]::new);
    for (int i = all.length - 1; i >= 0; i--) {
      all[i].interrupt();
      try {
        all[i].join(STOP_TIMEOUT_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
