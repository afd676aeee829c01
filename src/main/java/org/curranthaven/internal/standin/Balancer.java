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

/** Stands in for the platform's balancer: sends callers to hosts that say that they are ready. */
public final class Balancer implements AutoCloseable {
  private static final long PERIOD_MILLIS = 100;
  private static final Duration TIMEOUT = Duration.ofMillis(500);
  private static final int STATUS_OK = 200;

  private final List<String> hosts;
  private final List<String> ready = new CopyOnWriteArrayList<>();
  private final HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
  private final Thread thread;

  /** Starts watching the hosts, given by their HTTP addresses. */
  public Balancer(List<String> hosts) {
    this.hosts = List.copyOf(hosts);
    this.thread = Thread.ofVirtual().start(this::run);
  }

  /** Returns a ready host, or any host where none is ready. */
  public String choose(RandomGenerator random) {
    List<String> candidates = List.copyOf(ready);
    List<String> from = candidates.isEmpty() ? hosts : candidates;
    return from.get(random.nextInt(from.size()));
  }

  /** Returns the number of hosts that are ready. */
  public int readyCount() {
    return ready.size();
  }

  private void run() {
    try {
      while (true) {
        for (String host : hosts) {
          Thread.ofVirtual().start(() -> check(host));
        }
        Thread.sleep(PERIOD_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void check(String host) {
    boolean isReady;
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + host + "/readyz")).timeout(TIMEOUT).build();
      isReady =
          client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == STATUS_OK;
    } catch (IOException e) {
      isReady = false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      isReady = false;
    }
    synchronized (ready) {
      if (!isReady) {
        ready.remove(host);
      } else if (!ready.contains(host)) {
        ready.add(host);
      }
    }
  }

  @Override
  public void close() {
    thread.interrupt();
    client.shutdownNow();
  }
}
