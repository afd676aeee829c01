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

/** Metrics of one host, in the Prometheus format. Thread-safe. */
public final class Metrics {
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

  private final TargetMonitor targetMonitor = new TargetMonitor();
  private final Clock clock;

  /** Creates the metrics of a host. */
  public Metrics(Clock clock) {
    this.clock = clock;
  }

  /** Returns the latencies of each class compared with its targets. */
  public Map<String, TargetMonitor.ClassStatus> targetStatuses() {
    return targetMonitor.statuses(clock.nowMillis());
  }

  /** Counts a request. */
  public void requested(String className) {
    counter("curranthaven_requests", "class", className).increment();
  }

  /** Counts a request that ended with an error. */
  public void failed(String className, ResultCode code) {
    targetMonitor.recordFailure(className, clock.nowMillis());
    Counter.builder("curranthaven_failures")
        .tag("class", className)
        .tag("code", String.valueOf(code.number()))
        .register(registry)
        .increment();
  }

  /** Counts a token delivered to a caller. */
  public void tokenDelivered(String className) {
    counter("curranthaven_tokens", "class", className).increment();
  }

  /** Records the time from a request's arrival to its first token or plain service response. */
  public void firstReply(ServiceClass serviceClass, long millis) {
    targetMonitor.recordFirstReply(
        serviceClass.name(), millis, serviceClass.targets().firstReplyMillis(), clock.nowMillis());
    timer("curranthaven_first_reply", serviceClass.name()).record(Duration.ofMillis(millis));
  }

  /** Records the time between two tokens of a stream. */
  public void tokenGap(ServiceClass serviceClass, long millis) {
    targetMonitor.recordGap(
        serviceClass.name(), millis, serviceClass.targets().gapMillis(), clock.nowMillis());
    timer("curranthaven_token_gap", serviceClass.name()).record(Duration.ofMillis(millis));
  }

  /** Counts a stream that was resumed over a new connection. */
  public void streamResumed(String className) {
    counter("curranthaven_streams_resumed", "class", className).increment();
  }

  /** Counts a retry. */
  public void retried(String className) {
    counter("curranthaven_retries", "class", className).increment();
  }

  /** Registers a gauge whose value is read at each scrape. */
  public void gauge(String name, Supplier<Number> value) {
    Gauge.builder(name, value).strongReference(true).register(registry);
  }

  /** Returns all metrics in the Prometheus text format. */
  public String scrape() {
    return registry.scrape();
  }

  private Counter counter(String name, String tag, String tagValue) {
    return Counter.builder(name).tag(tag, tagValue).register(registry);
  }

  private Timer timer(String name, String className) {
    return Timer.builder(name)
        .tag("class", className)
        .publishPercentiles(0.5, 0.95, 0.99)
        .register(registry);
  }
}
