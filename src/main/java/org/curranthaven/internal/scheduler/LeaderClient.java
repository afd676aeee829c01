package org.curranthaven.internal.scheduler;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.RequestNumbers;
import org.curranthaven.internal.transport.wire.AdminReply;
import org.curranthaven.internal.transport.wire.AdminRequest;
import org.curranthaven.internal.transport.wire.Envelope;

/**
 * Forwards control requests from any control host to the leader of group 0, and retries until the
 * leader accepts them or their deadline expires. Every request is safe to repeat. Confined to the
 * event loop.
 */
final class LeaderClient {
  static final String REGISTER = "register";
  static final String DEREGISTER = "withdraw";
  static final String REPLACE_CATALOG = "replace-catalog";
  static final String READ_CATALOG = "read-catalog";
  static final String EVACUATE = "evacuate";

  static final int OK = 200;
  static final int TEMPORARY_REDIRECT = 307;
  static final int NOT_LEADER = 421;
  static final int UNKNOWN_PATH = 404;
  static final int UNPROCESSABLE = 422;

  /**
   * Timeout of a registration or deregistration: backend servers switch to another host after one
   * second.
   */
  static final long REGISTRATION_TIMEOUT_MILLIS = 850;

  static final long READ_TIMEOUT_MILLIS = 900;
  static final long CHANGE_TIMEOUT_MILLIS = 3_000;

  /**
   * Timeout of an order to evacuate a data centre, or of its withdrawal: operators send it to
   * another host after one second, for five seconds in all.
   */
  static final long EVACUATION_TIMEOUT_MILLIS = 900;

  private static final long RETRY_DELAY_MILLIS = 60;
  private static final long ATTEMPT_TIMEOUT_MILLIS = 700;

  private final EventLoop loop;
  private final Clock clock;
  private final Sender sender;
  private final Supplier<String> leaderHost;
  private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
  private final RequestNumbers requestNumbers = new RequestNumbers();

  /** Sends messages to other hosts. */
  interface Sender {
    /** Returns whether the message was handed to a connection to the named host. */
    boolean send(String host, Envelope.Builder message);
  }

  /** A request that awaits the leader's reply. */
  private static final class PendingRequest {
    final String path;
    final ByteString body;
    final long deadlineMillis;
    final Consumer<ControlResponse> callback;

    PendingRequest(
        String path, ByteString body, long deadlineMillis, Consumer<ControlResponse> callback) {
      this.path = path;
      this.body = body;
      this.deadlineMillis = deadlineMillis;
      this.callback = callback;
    }

    /**
     * Returns the timeout of one attempt. A catalog change has a longer one, since it completes
     * only when every gateway has activated the catalog.
     */
    long attemptTimeoutMillis() {
      return path.equals(REPLACE_CATALOG) ? CHANGE_TIMEOUT_MILLIS : ATTEMPT_TIMEOUT_MILLIS;
    }
  }

  LeaderClient(EventLoop loop, Clock clock, Sender sender, Supplier<String> leaderHost) {
    this.loop = loop;
    this.clock = clock;
    this.sender = sender;
    this.leaderHost = leaderHost;
  }

  /** Sends a request to the leader; the response is 503 if none accepts it before the deadline. */
  void send(String path, ByteString body, long timeoutMillis, Consumer<ControlResponse> callback) {
    sendAttempt(new PendingRequest(path, body, clock.nowMillis() + timeoutMillis, callback));
  }

  private void sendAttempt(PendingRequest pending) {
    long nowMillis = clock.nowMillis();
    if (nowMillis >= pending.deadlineMillis) {
      pending.callback.accept(
          ControlResponse.error(
              503,
              "no leader accepted the "
                  + pending.path
                  + " request before its deadline; send the request again"));
      return;
    }
    String leader = leaderHost.get();
    long requestId = requestNumbers.next();
    pendingRequests.put(requestId, pending);
    AdminRequest request =
        AdminRequest.newBuilder()
            .setRequestId(requestId)
            .setPath(pending.path)
            .setJson(pending.body)
            .build();
    boolean sent =
        !leader.isEmpty() && sender.send(leader, Envelope.newBuilder().setAdminRequest(request));
    long nextAttemptDelayMillis =
        sent
            ? Math.min(pending.attemptTimeoutMillis(), pending.deadlineMillis - nowMillis)
            : RETRY_DELAY_MILLIS;
    loop.schedule(
        () -> attemptTimedOut(requestId),
        Math.max(1, nextAttemptDelayMillis),
        TimeUnit.MILLISECONDS);
  }

  private void attemptTimedOut(long requestId) {
    PendingRequest pending = pendingRequests.remove(requestId);
    if (pending != null) {
      sendAttempt(pending);
    }
  }

  /** Handles the leader's reply: completes the request if the status is OK, else retries it. */
  void handleReply(AdminReply reply) {
    PendingRequest pending = pendingRequests.remove(reply.getRequestId());
    if (pending == null) {
      return;
    }
    switch (reply.getStatus()) {
      case OK ->
          pending.callback.accept(
              reply.getJson().isEmpty()
                  ? emptyResponse(pending.path)
                  : new ControlResponse(OK, reply.getJson().toByteArray()));
      case UNPROCESSABLE, TEMPORARY_REDIRECT ->
          pending.callback.accept(
              new ControlResponse(reply.getStatus(), reply.getJson().toByteArray()));
      default ->
          loop.schedule(() -> sendAttempt(pending), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private static ControlResponse emptyResponse(String path) {
    return path.equals(READ_CATALOG)
        ? ControlResponse.error(
            503, "no catalog has been published yet; replace the catalog, then read it again")
        : ControlResponse.ok();
  }
}
