package org.curranthaven.internal.standin;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.random.RandomGenerator;

/**
 * A stand-in for the platform's load balancer: directs callers to hosts whose readiness check
 * succeeds. Thread-safe.
 */
public final class LoadBalancer implements AutoCloseable {
  private static final long CHECK_INTERVAL_MILLIS = 100;
  private static final Duration CHECK_TIMEOUT = Duration.ofMillis(500);
  private static final int STATUS_OK = 200;

  private final List<String> hosts;
  private final List<String> readyHosts = new CopyOnWriteArrayList<>();
  private final HttpClient client = HttpClient.newBuilder().connectTimeout(CHECK_TIMEOUT).build();
  private final Thread thread;

  /** Starts checking the readiness of the hosts, given by their HTTP addresses. */
  public LoadBalancer(List<String> hosts) {
    this.hosts = List.copyOf(hosts);
    this.thread = Thread.ofVirtual().start(this::checkPeriodically);
  }

  /** Returns a random ready host, or a random host if none is ready. */
  public String chooseHost(RandomGenerator random) {
    List<String> readyNow = List.copyOf(readyHosts);
    List<String> candidates = readyNow.isEmpty() ? hosts : readyNow;
    return candidates.get(random.nextInt(candidates.size()));
  }

  /** Returns the number of hosts that are ready. */
  public int readyHostCount() {
    return readyHosts.size();
  }

  private void checkPeriodically() {
    try {
      while (true) {
        for (String host : hosts) {
          Thread.ofVirtual().start(() -> checkReadiness(host));
        }
        Thread.sleep(CHECK_INTERVAL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void checkReadiness(String host) {
    boolean isReady;
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + host + "/readyz"))
              .timeout(CHECK_TIMEOUT)
              .build();
      isReady =
          client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == STATUS_OK;
    } catch (IOException e) {
      isReady = false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      isReady = false;
    }
    synchronized (readyHosts) {
      if (!isReady) {
        readyHosts.remove(host);
      } else if (!readyHosts.contains(host)) {
        readyHosts.add(host);
      }
    }
  }

  @Override
  public void close() {
    thread.interrupt();
    client.shutdownNow();
  }
}
