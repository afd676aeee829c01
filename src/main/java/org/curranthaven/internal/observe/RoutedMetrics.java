package org.curranthaven.internal.observe;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.function.Supplier;
import org.curranthaven.api.ResultCode;

/** Metrics of a host of routed calls. Thread-safe. */
public final class RoutedMetrics {
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

  /** Notes the time from a call's arrival to the first part of its answer. */
  public void recordFirstReply(String route, long millis) {
    Timer.builder("curranthaven_routed_first_reply")
        .tag("route", route)
        .publishPercentiles(0.5, 0.95, 0.99)
        .register(registry)
        .record(Duration.ofMillis(millis));
  }

  /** Counts a call that ended with a failure of the system's own. */
  public void countFailure(String route, ResultCode code) {
    Counter.builder("curranthaven_routed_failures")
        .tag("route", route)
        .tag("code", String.valueOf(code.number()))
        .register(registry)
        .increment();
  }

  /** Shows a figure that is read when the page is asked for. */
  public void gauge(String name, Supplier<Number> figure) {
    Gauge.builder(name, figure).strongReference(true).register(registry);
  }

  /** Returns the page that Prometheus reads. */
  public String page() {
    return registry.scrape();
  }
}
