package org.curranthaven.internal.scheduler;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.PeerNetwork;
import org.curranthaven.internal.transport.wire.AdminReply;
import org.curranthaven.internal.transport.wire.AdminRequest;
import org.curranthaven.internal.transport.wire.Envelope;

/**
 * Brings control calls to the leader of group 0, from any control host, until they are answered or
 * their time is up. Every call may be sent again. Used on the event loop only.
 */
final class LeaderClient {
  static final String REGISTER = "register";
  static final String WITHDRAW = "withdraw";
  static final String REPLACE_CATALOG = "replace-catalog";
  static final String READ_CATALOG = "read-catalog";

  static final int OK = 200;
  static final int NOT_LEADER = 421;
  static final int UNKNOWN_PATH = 404;

  /** Time for a registration: backend servers turn to another host after a second. */
  static final long REGISTRATION_TIMEOUT_MILLIS = 850;

  static final long READ_TIMEOUT_MILLIS = 900;
  static final long CHANGE_TIMEOUT_MILLIS = 3_000;

  private static final long RETRY_DELAY_MILLIS = 60;
  private static final long ATTEMPT_TIMEOUT_MILLIS = 700;

  private final EventLoop loop;
  private final Clock clock;
  private final PeerNetwork network;
  private final Supplier<String> leaderHost;
  private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
  private long nextRequestId = 1;

  /** A call that waits for the leader's answer. */
  private static final class PendingRequest {
    final String path;
    final ByteString body;
    final long deadlineMillis;
    final Consumer<ControlResponse> callback;

    PendingRequest(
        String path, ByteString body, long endsAtMillis, Consumer<ControlResponse> answer) {
      this.path = path;
      this.body = body;
      this.deadlineMillis = endsAtMillis;
      this.callback = answer;
    }

    /** Returns how long one sending waits: a change waits for every gateway. */
    long attemptTimeoutMillis() {
      return path.equals(REPLACE_CATALOG) ? CHANGE_TIMEOUT_MILLIS : ATTEMPT_TIMEOUT_MILLIS;
    }
  }

  LeaderClient(EventLoop loop, Clock clock, PeerNetwork network, Supplier<String> leaderHost) {
    this.loop = loop;
    this.clock = clock;
    this.network = network;
    this.leaderHost = leaderHost;
  }

  /** Asks the leader; the answer is 503 if none answered in time. */
  void send(String path, ByteString body, long timeoutMillis, Consumer<ControlResponse> answer) {
    sendAttempt(new PendingRequest(path, body, clock.nowMillis() + timeoutMillis, answer));
  }

  private void sendAttempt(PendingRequest pending) {
    long nowMillis = clock.nowMillis();
    if (nowMillis >= pending.deadlineMillis) {
      pending.callback.accept(ControlResponse.error(503, "no leader answered; send it again"));
      return;
    }
    String leader = leaderHost.get();
    long requestId = nextRequestId++;
    pendingRequests.put(requestId, pending);
    AdminRequest request =
        AdminRequest.newBuilder()
            .setRequestId(requestId)
            .setPath(pending.path)
            .setJson(pending.body)
            .build();
    boolean sent =
        !leader.isEmpty() && network.send(leader, Envelope.newBuilder().setAdminRequest(request));
    long wait =
        sent
            ? Math.min(pending.attemptTimeoutMillis(), pending.deadlineMillis - nowMillis)
            : RETRY_DELAY_MILLIS;
    loop.schedule(() -> attemptTimedOut(requestId), Math.max(1, wait), TimeUnit.MILLISECONDS);
  }

  private void attemptTimedOut(long requestId) {
    PendingRequest pending = pendingRequests.remove(requestId);
    if (pending != null) {
      sendAttempt(pending);
    }
  }

  /** Takes in the leader's answer. */
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
      default ->
          loop.schedule(() -> sendAttempt(pending), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private static ControlResponse emptyResponse(String path) {
    return path.equals(READ_CATALOG)
        ? ControlResponse.error(503, "there is no catalog yet")
        : ControlResponse.ok();
  }
}
