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

/**
 * Sends a stand-in's announcements to the hosts in turn, as if through a load balancer.
 * Thread-safe.
 */
final class AnnouncementSender implements AutoCloseable {
  private static final long ANNOUNCEMENT_INTERVAL_MILLIS = 500;
  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(400);

  private final List<String> hosts;
  private final LongFunction<BackendAnnouncement> announcementFactory;
  private final HttpClient client =
      HttpClient.newBuilder()
          .connectTimeout(REQUEST_TIMEOUT)
          .executor(Executors.newVirtualThreadPerTaskExecutor())
          .build();
  private final AtomicLong lastSequenceNumber = new AtomicLong();
  private final Thread thread;

  /**
   * Starts sending announcements at a fixed interval.
   *
   * @param hosts HTTP addresses of the hosts
   * @param announcementFactory creates the announcement with the given sequence number
   */
  AnnouncementSender(List<String> hosts, LongFunction<BackendAnnouncement> announcementFactory) {
    this.hosts = hosts;
    this.announcementFactory = announcementFactory;
    this.thread = Thread.ofVirtual().start(this::announcePeriodically);
  }

  private void announcePeriodically() {
    try {
      while (true) {
        sendAnnouncement();
        Thread.sleep(ANNOUNCEMENT_INTERVAL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends an announcement now, in addition to the periodic ones. */
  void sendAnnouncement() {
    long sequenceNumber = lastSequenceNumber.incrementAndGet();
    String host = hosts.get((int) (sequenceNumber % hosts.size()));
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + host + "/backend/v1/announce"))
            .timeout(REQUEST_TIMEOUT)
            .POST(
                HttpRequest.BodyPublishers.ofByteArray(
                    Json.write(announcementFactory.apply(sequenceNumber)).toByteArray()))
            .build();
    client.sendAsync(request, HttpResponse.BodyHandlers.discarding());
  }

  @Override
  public void close() {
    thread.interrupt();
    client.shutdownNow();
  }
}
