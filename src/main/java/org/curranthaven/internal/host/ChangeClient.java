package org.curranthaven.internal.host;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.configuration.ChangeResult;
import org.curranthaven.internal.configuration.ConfigurationChange;
import org.curranthaven.internal.settings.Json;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.ControlClient;
import org.curranthaven.internal.transport.PeerNetwork;
import org.curranthaven.internal.transport.RequestNumbers;
import org.curranthaven.internal.transport.wire.AdminReply;
import org.curranthaven.internal.transport.wire.AdminRequest;
import org.curranthaven.internal.transport.wire.Envelope;

/**
 * Sends operators' changes from any host to the leader of group 0 and waits until they are active
 * on every host; also reads the history of changes from a control host. A change whose reply is
 * lost is sent again with the same id. Thread-safe; callers block.
 */
final class ChangeClient {
  static final String CHANGE_PATH = "change";
  static final String HISTORY_PATH = "history";
  static final int STATUS_OK = 200;
  static final int STATUS_NOT_LEADER = 421;
  static final int STATUS_UNKNOWN = 503;

  private static final long REQUEST_TIMEOUT_MILLIS = 15_000;
  private static final long ATTEMPT_TIMEOUT_MILLIS = 5_000;
  private static final long RETRY_DELAY_MILLIS = 50;

  private final PeerNetwork network;
  private final ControlClient control;
  private final Clock clock;
  private final Map<Long, CompletableFuture<AdminReply>> pendingReplies = new ConcurrentHashMap<>();
  private final RequestNumbers requestNumbers = new RequestNumbers();

  ChangeClient(PeerNetwork network, ControlClient control, Clock clock) {
    this.network = network;
    this.control = control;
    this.clock = clock;
  }

  void received(AdminReply reply) {
    CompletableFuture<AdminReply> future = pendingReplies.remove(reply.getRequestId());
    if (future != null) {
      future.complete(reply);
    }
  }

  Outcome<ChangeResult> change(ConfigurationChange change) throws InterruptedException {
    Outcome<ByteString> reply = request(CHANGE_PATH, Json.write(change));
    return switch (reply) {
      case Outcome.Success<ByteString> success ->
          Outcome.success(Json.read(success.value(), ChangeResult.class));
      case Outcome.Failed<ByteString> failed -> Outcome.failed(failed.failure());
    };
  }

  Outcome<ObjectNode> history() throws InterruptedException {
    Outcome<ByteString> reply = request(HISTORY_PATH, ByteString.EMPTY);
    return switch (reply) {
      case Outcome.Success<ByteString> success ->
          Outcome.success(Json.read(success.value(), ObjectNode.class));
      case Outcome.Failed<ByteString> failed -> Outcome.failed(failed.failure());
    };
  }

  private Outcome<ByteString> request(String path, ByteString json) throws InterruptedException {
    long deadlineMillis = clock.nowMillis() + REQUEST_TIMEOUT_MILLIS;
    int attempts = 0;
    while (clock.nowMillis() < deadlineMillis) {
      List<String> controlHosts = control.reachableControlHosts();
      if (!controlHosts.isEmpty()) {
        AdminReply reply = attempt(controlHosts.get(attempts++ % controlHosts.size()), path, json);
        if (reply.getStatus() == STATUS_OK) {
          return Outcome.success(reply.getJson());
        }
      }
      Thread.sleep(RETRY_DELAY_MILLIS);
    }
    return Outcome.failed(
        ResultCode.CHANGE_UNKNOWN,
        "no result from a control host within "
            + REQUEST_TIMEOUT_MILLIS
            + " ms; if the request was a change, it may or may not be active: send it again with"
            + " the same id to learn its result");
  }

  private AdminReply attempt(String host, String path, ByteString json)
      throws InterruptedException {
    long requestId = requestNumbers.next();
    CompletableFuture<AdminReply> future = new CompletableFuture<>();
    pendingReplies.put(requestId, future);
    AdminRequest request =
        AdminRequest.newBuilder().setRequestId(requestId).setPath(path).setJson(json).build();
    AdminReply unknown = AdminReply.newBuilder().setStatus(STATUS_UNKNOWN).build();
    try {
      if (!network.send(host, Envelope.newBuilder().setAdminRequest(request))) {
        return unknown;
      }
      return future.get(ATTEMPT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (TimeoutException | ExecutionException e) {
      return unknown;
    } finally {
      pendingReplies.remove(requestId);
    }
  }
}
