package org.curranthaven.internal.gateway;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.Map;
import java.util.function.Supplier;
import org.curranthaven.api.ResultCode;
import org.curranthaven.api.ServiceClass;
import org.curranthaven.internal.observe.TargetMonitor;
import org.curranthaven.internal.supervision.Clock;

/** Metrics of one host. Thread-safe. */
public final class Metrics {
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

  private final TargetMonitor targets = new TargetMonitor();
  private final Clock clock;

  /** Creates the metrics of a host. */
  public Metrics(Clock clock) {
    this.clock = clock;
  }

  /** Returns each class's figures against its targets. */
  public Map<String, TargetMonitor.ClassStatus> targetStatuses() {
    return targets.statuses(clock.nowMillis());
  }

  /** Counts a request of a class. */
  public void requested(String className) {
    counter("curranthaven_requests", "class", className).increment();
  }

  /** Counts a request that ended with an error. */
  public void failed(String className, ResultCode code) {
    targets.recordFailure(className, clock.nowMillis());
    Counter.builder("curranthaven_failures")
        .tag("class", className)
        .tag("code", String.valueOf(code.number()))
        .register(registry)
        .increment();
  }

  /** Counts a token delivered to a caller. */
  public void delivered(String className) {
    counter("curranthaven_tokens", "class", className).increment();
  }

  /** Notes the time from a request's arrival to its first token or plain answer. */
  public void firstReply(ServiceClass serviceClass, long millis) {
    targets.recordFirstReply(
        serviceClass.name(), millis, serviceClass.targets().firstReplyMillis(), clock.nowMillis());
    timer("curranthaven_first_reply", serviceClass.name()).record(Duration.ofMillis(millis));
  }

  /** Notes the time between two tokens of a stream. */
  public void gap(ServiceClass serviceClass, long millis) {
    targets.recordGap(
        serviceClass.name(), millis, serviceClass.targets().gapMillis(), clock.nowMillis());
    timer("curranthaven_token_gap", serviceClass.name()).record(Duration.ofMillis(millis));
  }

  /** Counts a stream that was resumed over a new connection. */
  public void resumed(String className) {
    counter("curranthaven_streams_resumed", "class", className).increment();
  }

  /** Counts an attempt that followed a failed one. */
  public void retried(String className) {
    counter("curranthaven_retries", "class", className).increment();
  }

  /** Shows a figure that is read when the page is asked for. */
  public void gauge(String name, Supplier<Number> figure) {
    Gauge.builder(name, figure).strongReference(true).register(registry);
  }

  /** Returns the page that Prometheus reads. */
  public String page() {
    return registry.scrape();
  }

  private Counter counter(String name, String tag, String value) {
    return Counter.builder(name).tag(tag, value).register(registry);
  }

  private Timer timer(String name, String className) {
    return Timer.builder(name)
        .tag("class", className)
        .publishPercentiles(0.5, 0.95, 0.99)
        .register(registry);
  }
}
