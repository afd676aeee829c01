package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

/** Guards against a curve that misses a knee, finds one by chance, or outlives its samples. */
class LoadCurveSamplesTest {
  private static final int SLOTS = 6;
  private static final LoadCurve PRIOR = LoadCurve.ofSlots(50, SLOTS);
  private final LoadCurveSamples samples = new LoadCurveSamples(400, () -> 2_500);
  private long nowMillis = 1_000;

  private void record(int count, LoadCurve curve) {
    for (int i = 0; i < count; i++) {
      int requests = 1 + i % SLOTS;
      nowMillis += 15;
      samples.record(requests, curve.millisAt(requests), PRIOR, nowMillis);
    }
  }

  private LoadCurve fit() {
    return samples.fit(PRIOR, SLOTS, nowMillis);
  }

  @Test
  void a_knee_is_found_where_it_is() {
    record(300, new LoadCurve(40, 2, 0.5));

    assertThat(fit().kneeRequests()).isEqualTo(2);
    assertThat(fit().lightMillis()).isCloseTo(40, within(4.0));
    assertThat(fit().slowdown()).isCloseTo(0.5, within(0.1));
  }

  @Test
  void equal_times_at_every_load_show_no_knee() {
    record(300, new LoadCurve(40, SLOTS, 0));

    assertThat(fit().usefulRequests(SLOTS)).isEqualTo(SLOTS);
  }

  @Test
  void without_samples_for_a_while_the_curve_returns_to_the_prior_one() {
    record(300, new LoadCurve(110, SLOTS, 0));
    assertThat(fit().lightMillis()).isGreaterThan(100);

    nowMillis += 20_000;

    assertThat(fit().lightMillis()).isCloseTo(50, within(3.0));
  }

  /**
   * Guards against a server that was slow and is not tried again, since its curve is read often.
   */
  @Test
  void a_curve_that_is_read_meanwhile_returns_to_the_prior_one_as_soon() {
    record(300, new LoadCurve(110, SLOTS, 0));
    assertThat(samples.weight(nowMillis)).isGreaterThan(LoadCurveSamples.MAX_IDLE_WEIGHT);

    for (int i = 0; i < 30; i++) {
      nowMillis += 50;
      fit();
    }

    assertThat(samples.weight(nowMillis)).isLessThanOrEqualTo(LoadCurveSamples.MAX_IDLE_WEIGHT);
  }

  @Test
  void throughput_beyond_the_useful_requests_grows_no_more() {
    assertThat(new LoadCurve(50, 2, 0.5).usefulRequests(SLOTS)).isEqualTo(2);
    assertThat(new LoadCurve(50, 2, 0.1).usefulRequests(SLOTS)).isEqualTo(SLOTS);
  }

  @Test
  void a_change_is_noticed_and_chance_is_not() {
    ChangeDetector steady = new ChangeDetector();
    for (int i = 0; i < 1_000; i++) {
      assertThat(steady.record(i % 2 == 0 ? 0.5 : 1.5)).isFalse();
    }
    int samplesUntilNoticed = 1;
    while (!steady.record(2.2)) {
      samplesUntilNoticed++;
    }

    assertThat(samplesUntilNoticed).isLessThan(20);
  }
}
