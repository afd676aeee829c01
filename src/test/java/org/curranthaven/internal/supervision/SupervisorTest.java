package org.curranthaven.internal.supervision;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class SupervisorTest {
  private final Supervisor supervisor = new Supervisor("host", Clock.system());

  @Test
  void a_failed_child_is_restarted() throws InterruptedException {
    assertRestartedAfter(
        () -> {
          throw new IllegalStateException("crash");
        });
  }

  @Test
  void a_child_that_throws_an_error_is_restarted() throws InterruptedException {
    assertRestartedAfter(
        () -> {
          throw new StackOverflowError("crash");
        });
  }

  /** Runs a child that fails at its first start, and checks that it is started once more. */
  private void assertRestartedAfter(Child failure) throws InterruptedException {
    AtomicInteger starts = new AtomicInteger();
    CountDownLatch secondStart = new CountDownLatch(2);
    supervisor.add(
        "component",
        new RestartPolicy(3, 60_000, 0),
        () -> {
          secondStart.countDown();
          if (starts.incrementAndGet() == 1) {
            failure.run();
          }
          Thread.sleep(Long.MAX_VALUE);
        });
    Thread thread = start();

    boolean restarted = secondStart.await(20, TimeUnit.SECONDS);
    thread.interrupt();
    thread.join();

    assertThat(restarted).isTrue();
    assertThat(starts).hasValue(2);
    assertThat(supervisor.failureReason()).isNull();
  }

  @Test
  void a_child_that_exceeds_its_restart_limit_fails_its_supervisor_with_the_reason() {
    supervisor.add(
        "component",
        new RestartPolicy(2, 60_000, 0),
        () -> {
          throw new IllegalStateException("disk failed");
        });

    assertThatThrownBy(supervisor::run)
        .isInstanceOf(IllegalStateException.class)
        .hasMessageContaining("component keeps failing")
        .hasMessageContaining("disk failed");
    assertThat(supervisor.statuses()).containsKey("component");
    assertThat(supervisor.statuses().values())
        .allMatch(status -> status.state().equals("failed") && status.restarts() == 2);
  }

  @Test
  void a_failed_supervisor_is_a_failed_child_of_its_parent() {
    Supervisor inner =
        new Supervisor("inner", Clock.system())
            .add(
                "component",
                new RestartPolicy(0, 60_000, 0),
                () -> {
                  throw new IllegalStateException("crash");
                });
    supervisor.add("inner", new RestartPolicy(0, 60_000, 0), inner);

    assertThatThrownBy(supervisor::run).hasMessageContaining("inner keeps failing");
  }

  @Test
  void only_failures_within_the_window_count_against_the_restart_limit() {
    RestartIntensity intensity = new RestartIntensity(new RestartPolicy(1, 1_000, 0));

    assertThat(intensity.mayRestart(0)).isTrue();
    assertThat(intensity.mayRestart(500)).isFalse();
    assertThat(intensity.mayRestart(5_000)).isTrue();
  }

  private Thread start() {
    return Thread.ofPlatform()
        .start(
            () -> {
              try {
                supervisor.run();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
  }
}
