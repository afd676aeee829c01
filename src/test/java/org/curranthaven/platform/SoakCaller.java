package org.curranthaven.platform;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;

/**
 * Sends requests over connections that it keeps until a gateway closes them, and takes up streams
 * that broke off, at any gateway.
 */
final class SoakCaller {
  private static final int RESPONSE_TIMEOUT_MILLIS = 15_000;
  private static final int MAX_PAUSE_MILLIS = 100;
  private static final int MIN_DEADLINE_MILLIS = 500;
  private static final int MAX_DEADLINE_MILLIS = 6_500;
  private static final int MAX_RESUMPTIONS = 4;
  private static final int SHORT_BODY_BYTES = 2;
  private static final int LONG_BODY_BYTES = 60_000;
  private static final int VERY_LONG_BODY_BYTES = 1_000_000;

  private final int number;
  private final SplittableRandom random;
  private final List<String> gateways;
  private final Queue<Reply> replies;
  private Socket connection = new Socket();
  private InputStream in = InputStream.nullInputStream();
  private String gateway = "";

  /**
   * What the caller got.
   *
   * @param status 0 if there was no response
   * @param stray whether bytes arrived that are no response, or none to this request
   * @param firstEvent the first event of a stream that the request asked for
   */
  record Reply(
      long sentMillis,
      long endMillis,
      String gateway,
      String requestId,
      String path,
      int status,
      boolean stray,
      boolean sealed,
      boolean complete,
      int firstEvent,
      String body) {
    boolean isSuccess() {
      return status >= 200 && status < 300;
    }

    /** Returns the number of the last whole event; 0 if there is none. */
    int lastEvent() {
      return firstEvent - 1 + body.split("\n\n", -1).length - 1;
    }

    boolean isBrokenStream() {
      return SoakRoutes.mayBeTakenUp(path)
          && isSuccess()
          && !complete
          && lastEvent() < SoakScript.EVENTS;
    }
  }

  /** A response as far as it was read. */
  private static final class Response {
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private boolean stray;
    private boolean sealed;
    private boolean closes;
    private boolean complete;
  }

  SoakCaller(int number, long seed, List<String> gateways, Queue<Reply> replies) {
    this.number = number;
    this.random = new SplittableRandom(seed * 1_000 + number);
    this.gateways = gateways;
    this.replies = replies;
  }

  void run(long endMillis) throws IOException, InterruptedException {
    for (int i = 0; SoakClock.millis() < endMillis; i++) {
      String id = "c" + number + "-" + i;
      String path = SoakRoutes.drawPrefix(random) + id;
      Reply reply = send(id, path, 1, "");
      String beginning = id;
      for (int again = 1; reply.isBrokenStream() && again <= MAX_RESUMPTIONS; again++) {
        Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
        String nextId = id + "-r" + again;
        int lastEvent = reply.lastEvent();
        if (lastEvent == 0) {
          beginning = nextId;
        }
        String headers =
            lastEvent == 0
                ? ""
                : "Last-Event-Id: %d\r\nResumes: %s\r\n".formatted(lastEvent, beginning);
        reply = send(nextId, path, lastEvent + 1, headers);
      }
      Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
    }
    connection.close();
  }

  private Reply send(String id, String path, int firstEvent, String headers) throws IOException {
    long sentMillis = SoakClock.millis();
    Response response = new Response();
    try {
      connect();
      response.stray = in.available() > 0;
      FakeBackend.write(connection, request(id, path, headers));
      read(response);
    } catch (IOException e) {
      // The gateway closed the connection, did not respond in time, or is not running.
      response.complete = false;
    } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
      response.complete = false;
      response.stray = true;
    }
    if (!response.complete || response.closes) {
      connection.close();
    }
    Reply reply =
        new Reply(
            sentMillis,
            SoakClock.millis(),
            gateway,
            id,
            path,
            response.status,
            response.stray,
            response.sealed,
            response.complete,
            firstEvent,
            response.body.toString(StandardCharsets.UTF_8));
    replies.add(reply);
    return reply;
  }

  private String request(String id, String path, String headers) {
    int bodyBytes =
        switch (random.nextInt(60)) {
          case 0 -> VERY_LONG_BODY_BYTES;
          case 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 -> LONG_BODY_BYTES;
          default -> SHORT_BODY_BYTES;
        };
    return """
        POST %s HTTP/1.1\r
        Host: site.example\r
        Attempt-Id: %s\r
        Deadline-Ms: %d\r
        X-Api-Key: k1\r
        %sContent-Length: %d\r
        \r
        %s"""
        .formatted(
            path,
            id,
            random.nextInt(MIN_DEADLINE_MILLIS, MAX_DEADLINE_MILLIS),
            headers,
            bodyBytes,
            "b".repeat(bodyBytes));
  }

  private void connect() throws IOException {
    boolean changeGateway = random.nextInt(40) == 0;
    if (connection.isConnected() && !connection.isClosed() && !changeGateway) {
      return;
    }
    connection.close();
    gateway = gateways.get(random.nextInt(gateways.size()));
    connection = FleetProcesses.connect(gateway);
    connection.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
    in = new BufferedInputStream(connection.getInputStream());
  }

  private void read(Response response) throws IOException {
    String statusLine = RawHttp.readLine(in);
    Map<String, String> headers = RawHttp.readHeaders(in);
    response.status = Integer.parseInt(statusLine.split(" ", 3)[1]);
    response.sealed = headers.containsKey("response-seal");
    response.closes = "close".equalsIgnoreCase(headers.get("connection"));
    RawHttp.readBody(in, headers, response.body);
    response.complete = true;
  }
}
