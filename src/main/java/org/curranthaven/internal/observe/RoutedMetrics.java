package org.curranthaven.internal.observe;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.function.Supplier;
import org.curranthaven.api.ResultCode;

/** Metrics of a host that serves routed requests. Thread-safe. */
public final class RoutedMetrics {
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

  /** Records the time from the arrival of a request to the first part of its response. */
  public void recordFirstReply(String route, long millis) {
    Timer.builder("curranthaven_routed_first_reply")
        .tag("route", route)
        .publishPercentiles(0.5, 0.95, 0.99)
        .register(registry)
        .record(Duration.ofMillis(millis));
  }

  /** Counts a request that ended with an error raised by this system, not by a backend server. */
  public void countFailure(String route, ResultCode code) {
    Counter.builder("curranthaven_routed_failures")
        .tag("route", route)
        .tag("code", String.valueOf(code.number()))
        .register(registry)
        .increment();
  }

  /** Registers a gauge whose value is read at each scrape. */
  public void gauge(String name, Supplier<Number> value) {
    Gauge.builder(name, value).strongReference(true).register(registry);
  }

  /** Returns all metrics in the Prometheus text format. */
  public String page() {
    return registry.scrape();
  }
}
