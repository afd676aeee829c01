package org.curranthaven.internal.observe;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RoutedMetricsTest {
  @Test
  void retries_are_counted_by_service_and_decision() {
    RoutedMetrics metrics = new RoutedMetrics();
    metrics.countRetry("plain", true);
    metrics.countRetry("plain", true);
    metrics.countRetry("plain", false);

    assertThat(metrics.page())
        .contains("curranthaven_routed_retries_total{decision=\"allowed\",service=\"plain\"} 2.0")
        .contains("curranthaven_routed_retries_total{decision=\"refused\",service=\"plain\"} 1.0");
  }
}
