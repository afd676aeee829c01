package org.curranthaven.internal.observe;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.Collection;
import java.util.function.Supplier;
import org.curranthaven.api.ResultCode;

/** Metrics of a host that serves routed requests. Thread-safe. */
public final class RoutedMetrics {
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

  private final MultiGauge evacuated =
      MultiGauge.builder("curranthaven_evacuated_data_centre").register(registry);

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

  /** Counts a retry that the retry budget of its service allowed or refused. */
  public void countRetry(String service, boolean allowed) {
    Counter.builder("curranthaven_routed_retries")
        .tag("service", service)
        .tag("decision", allowed ? "allowed" : "refused")
        .register(registry)
        .increment();
  }

  /** Counts a response of a backend server that was not accepted. */
  public void countStrayResponse(String reason) {
    Counter.builder("curranthaven_stray_responses")
        .tag("reason", reason)
        .register(registry)
        .increment();
  }

  /** Registers a gauge whose value is read at each scrape. */
  public void gauge(String name, Supplier<Number> value) {
    Gauge.builder(name, value).strongReference(true).register(registry);
  }

  /**
   * Registers a counter whose value is read at each scrape.
   *
   * @param tags names and values in turn
   */
  public void counter(String name, Supplier<Number> value, String... tags) {
    FunctionCounter.builder(name, value, supplier -> supplier.get().doubleValue())
        .tags(tags)
        .register(registry);
  }

  /** Replaces the data centres that are shown as evacuated, each by a gauge with the value 1. */
  public void showEvacuated(Collection<String> dataCentres) {
    evacuated.register(
        dataCentres.stream()
            .map(name -> MultiGauge.Row.of(Tags.of("data_centre", name), 1))
            .toList(),
        true);
  }

  /** Returns all metrics in the Prometheus text format. */
  public String page() {
    return registry.scrape();
  }
}
