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
  static final int UNKNOWN = 404;

  /** Time for a registration: backend servers turn to another host after a second. */
  static final long REGISTRATION_MILLIS = 850;

  static final long READ_MILLIS = 900;
  static final long CHANGE_MILLIS = 3_000;

  private static final long RETRY_MILLIS = 60;
  private static final long TRY_MILLIS = 700;

  private final EventLoop loop;
  private final Clock clock;
  private final PeerNetwork network;
  private final Supplier<String> leaderHost;
  private final Map<Long, Pending> open = new HashMap<>();
  private long nextRequestId = 1;

  /** A call that waits for the leader's answer. */
  private static final class Pending {
    final String path;
    final ByteString body;
    final long endsAtMillis;
    final Consumer<ControlResponse> answer;

    Pending(String path, ByteString body, long endsAtMillis, Consumer<ControlResponse> answer) {
      this.path = path;
      this.body = body;
      this.endsAtMillis = endsAtMillis;
      this.answer = answer;
    }

    /** Returns how long one sending waits: a change waits for every gateway. */
    long tryMillis() {
      return path.equals(REPLACE_CATALOG) ? CHANGE_MILLIS : TRY_MILLIS;
    }
  }

  LeaderClient(EventLoop loop, Clock clock, PeerNetwork network, Supplier<String> leaderHost) {
    this.loop = loop;
    this.clock = clock;
    this.network = network;
    this.leaderHost = leaderHost;
  }

  /** Asks the leader; the answer is 503 if none answered in time. */
  void ask(String path, ByteString body, long timeoutMillis, Consumer<ControlResponse> answer) {
    attempt(new Pending(path, body, clock.nowMillis() + timeoutMillis, answer));
  }

  private void attempt(Pending pending) {
    long nowMillis = clock.nowMillis();
    if (nowMillis >= pending.endsAtMillis) {
      pending.answer.accept(ControlResponse.refused(503, "no leader answered; send it again"));
      return;
    }
    String leader = leaderHost.get();
    long requestId = nextRequestId++;
    open.put(requestId, pending);
    AdminRequest request =
        AdminRequest.newBuilder()
            .setRequestId(requestId)
            .setPath(pending.path)
            .setJson(pending.body)
            .build();
    boolean sent =
        !leader.isEmpty() && network.send(leader, Envelope.newBuilder().setAdminRequest(request));
    long wait =
        sent ? Math.min(pending.tryMillis(), pending.endsAtMillis - nowMillis) : RETRY_MILLIS;
    loop.schedule(() -> timedOut(requestId), Math.max(1, wait), TimeUnit.MILLISECONDS);
  }

  private void timedOut(long requestId) {
    Pending pending = open.remove(requestId);
    if (pending != null) {
      attempt(pending);
    }
  }

  /** Takes in the leader's answer. */
  void received(AdminReply reply) {
    Pending pending = open.remove(reply.getRequestId());
    if (pending == null) {
      return;
    }
    switch (reply.getStatus()) {
      case OK ->
          pending.answer.accept(
              reply.getJson().isEmpty()
                  ? empty(pending.path)
                  : new ControlResponse(OK, reply.getJson().toByteArray()));
      default -> loop.schedule(() -> attempt(pending), RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private static ControlResponse empty(String path) {
    return path.equals(READ_CATALOG)
        ? ControlResponse.refused(503, "there is no catalog yet")
        : ControlResponse.ok();
  }
}
