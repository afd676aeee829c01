package org.curranthaven.internal.supervision;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class SupervisorTest {
  private final Supervisor supervisor = new Supervisor("host", Clock.system());

  @Test
  void a_child_that_fails_is_started_again() throws InterruptedException {
    AtomicInteger starts = new AtomicInteger();
    CountDownLatch second = new CountDownLatch(2);
    supervisor.add(
        "part",
        new RestartPolicy(3, 60_000, 0),
        () -> {
          second.countDown();
          if (starts.incrementAndGet() == 1) {
            throw new IllegalStateException("crash");
          }
          Thread.sleep(Long.MAX_VALUE);
        });
    Thread thread = start();

    second.await();
    thread.interrupt();
    thread.join();

    assertThat(starts).hasValue(2);
    assertThat(supervisor.failureReason()).isNull();
  }

  @Test
  void a_child_that_keeps_failing_takes_its_supervisor_down_with_a_reason() {
    supervisor.add(
        "part",
        new RestartPolicy(2, 60_000, 0),
        () -> {
          throw new IllegalStateException("disk gone");
        });

    assertThatThrownBy(supervisor::run)
        .isInstanceOf(IllegalStateException.class)
        .hasMessageContaining("part keeps failing")
        .hasMessageContaining("disk gone");
    assertThat(supervisor.statuses()).containsKey("part");
    assertThat(supervisor.statuses().values())
        .allMatch(status -> status.state().equals("failed") && status.restarts() == 2);
  }

  @Test
  void a_supervisor_is_a_child_of_the_one_above_it() {
    Supervisor inner =
        new Supervisor("inner", Clock.system())
            .add(
                "part",
                new RestartPolicy(0, 60_000, 0),
                () -> {
                  throw new IllegalStateException("crash");
                });
    supervisor.add("inner", new RestartPolicy(0, 60_000, 0), inner);

    assertThatThrownBy(supervisor::run).hasMessageContaining("inner keeps failing");
  }

  @Test
  void restarts_count_only_within_their_window() {
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
