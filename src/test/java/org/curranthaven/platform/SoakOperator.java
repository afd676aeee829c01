package org.curranthaven.platform;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.jspecify.annotations.Nullable;

/**
 * Evacuates a data centre and takes it back, again and again: an order goes to another host after a
 * second without a response, and copies of it arrive late at any.
 */
final class SoakOperator {
  private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(1);
  private static final int MIN_EVACUATED_MILLIS = 2_000;
  private static final int MAX_EVACUATED_MILLIS = 13_000;
  private static final int MAX_PAUSE_MILLIS = 2_000;
  private static final int MAX_LATENESS_MILLIS = 6_000;
  private static final int MAX_COPIES = 3;
  private static final int ACKNOWLEDGED = 200;
  private static final long RETRY_MILLIS = 50;

  /** Longest time for which an order is sent again. */
  private static final long ORDER_MILLIS = 20_000;

  private static final String EVACUATE = "POST";
  private static final String WITHDRAW = "DELETE";

  private final List<String> controlAddresses;
  private final String dataCentre;
  private final SplittableRandom random;
  private final Queue<Evacuation> evacuations = new ConcurrentLinkedQueue<>();
  private final HttpClient client =
      HttpClient.newBuilder().followRedirects(HttpClient.Redirect.NORMAL).build();

  /** Late copies come from senders that have given up, and follow no redirect. */
  private final HttpClient givenUp =
      HttpClient.newBuilder().followRedirects(HttpClient.Redirect.NEVER).build();

  /** From the acknowledgement of an evacuation to the sending of its withdrawal. */
  record Evacuation(long acknowledgedMillis, long withdrawnMillis) {}

  SoakOperator(List<String> controlAddresses, String dataCentre, long seed) {
    this.controlAddresses = controlAddresses;
    this.dataCentre = dataCentre;
    this.random = new SplittableRandom(seed);
  }

  List<Evacuation> evacuations() {
    return List.copyOf(evacuations);
  }

  void run(long endMillis) throws InterruptedException {
    while (SoakClock.millis() < endMillis) {
      boolean acknowledged = order(EVACUATE);
      long acknowledgedMillis = SoakClock.millis();
      Thread.sleep(random.nextInt(MIN_EVACUATED_MILLIS, MAX_EVACUATED_MILLIS));
      if (acknowledged) {
        evacuations.add(new Evacuation(acknowledgedMillis, SoakClock.millis()));
      }
      order(WITHDRAW);
      if (random.nextInt(3) == 0) {
        order(EVACUATE);
        order(WITHDRAW);
      }
      Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
    }
  }

  /** Sends an order until it is acknowledged; returns whether it was in time. */
  private boolean order(String method) throws InterruptedException {
    for (int copies = random.nextInt(MAX_COPIES); copies > 0; copies--) {
      String target = target(random.nextInt(controlAddresses.size()));
      int latenessMillis = random.nextInt(MAX_LATENESS_MILLIS);
      boolean redirected = random.nextBoolean();
      Thread.ofVirtual().start(() -> sendLate(target, method, latenessMillis, redirected));
    }
    long endMillis = SoakClock.millis() + ORDER_MILLIS;
    int host = random.nextInt(controlAddresses.size());
    while (SoakClock.millis() < endMillis) {
      HttpResponse<Void> response = send(client, target(host), method);
      if (response != null && response.statusCode() == ACKNOWLEDGED) {
        return true;
      }
      host++;
      Thread.sleep(RETRY_MILLIS);
    }
    return false;
  }

  private String target(int host) {
    String address = controlAddresses.get(host % controlAddresses.size());
    return "http://" + address + "/api/evacuate/" + dataCentre;
  }

  /** Sends an order late, or late what it was redirected to in time. */
  private void sendLate(String target, String method, int latenessMillis, boolean redirected) {
    try {
      HttpResponse<Void> response = redirected ? send(givenUp, target, method) : null;
      String lateTarget =
          response == null ? target : response.headers().firstValue("Location").orElse(target);
      Thread.sleep(latenessMillis);
      send(givenUp, lateTarget, method);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the response; null if the host does not run or does not respond in time. */
  private static @Nullable HttpResponse<Void> send(HttpClient sender, String target, String method)
      throws InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(target))
            .method(method, HttpRequest.BodyPublishers.noBody())
            .timeout(ORDER_TIMEOUT)
            .build();
    try {
      return sender.send(request, HttpResponse.BodyHandlers.discarding());
    } catch (IOException e) {
      return null;
    }
  }
}
