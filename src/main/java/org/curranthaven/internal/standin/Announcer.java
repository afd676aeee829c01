package org.curranthaven.internal.standin;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.curranthaven.internal.membership.BackendAnnouncement;
import org.curranthaven.internal.settings.Json;

/** Sends a stand-in's announcements to one host after another, as a balancer would. */
final class Announcer implements AutoCloseable {
  private static final long PERIOD_MILLIS = 500;
  private static final Duration TIMEOUT = Duration.ofMillis(400);

  private final List<String> hosts;
  private final LongFunction<BackendAnnouncement> source;
  private final HttpClient client =
      HttpClient.newBuilder()
          .connectTimeout(TIMEOUT)
          .executor(Executors.newVirtualThreadPerTaskExecutor())
          .build();
  private final AtomicLong sequence = new AtomicLong();
  private final Thread thread;

  /**
   * Starts announcing.
   *
   * @param hosts HTTP addresses of hosts of the system
   * @param source makes the announcement with the given sequence number
   */
  Announcer(List<String> hosts, LongFunction<BackendAnnouncement> source) {
    this.hosts = hosts;
    this.source = source;
    this.thread = Thread.ofVirtual().start(this::run);
  }

  private void run() {
    try {
      while (true) {
        announce();
        Thread.sleep(PERIOD_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Announces now, in addition to the regular times. */
  void announce() {
    long number = sequence.incrementAndGet();
    String host = hosts.get((int) (number % hosts.size()));
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + host + "/backend/v1/announce"))
            .timeout(TIMEOUT)
            .POST(
                HttpRequest.BodyPublishers.ofByteArray(
                    Json.write(source.apply(number)).toByteArray()))
            .build();
    client.sendAsync(request, HttpResponse.BodyHandlers.discarding());
  }

  @Override
  public void close() {
    thread.interrupt();
    client.shutdownNow();
  }
}
