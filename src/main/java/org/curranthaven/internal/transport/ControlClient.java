package org.curranthaven.internal.transport;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.wire.CommandReply;
import org.curranthaven.internal.transport.wire.CommandRequest;
import org.curranthaven.internal.transport.wire.CommandStatus;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.HostRecord;

/**
 * Sends commands to the leaders of consensus groups from any host. Commands are idempotent, so a
 * command whose reply was lost is sent again. Thread-safe; callers block.
 */
public final class ControlClient {
  private static final long ATTEMPT_TIMEOUT_MILLIS = 500;
  private static final long RETRY_DELAY_MILLIS = 40;

  private final PeerNetwork network;
  private final Clock clock;
  private final Map<Integer, String> leaderByGroup = new ConcurrentHashMap<>();
  private final Map<Long, CompletableFuture<CommandReply>> pendingReplies =
      new ConcurrentHashMap<>();
  private final RequestNumbers requestNumbers = new RequestNumbers();

  /** Creates a client over the host's connections. */
  public ControlClient(PeerNetwork network, Clock clock) {
    this.network = network;
    this.clock = clock;
  }

  /** Handles the reply to a command; discards it if the attempt has timed out. */
  public void handleReply(CommandReply reply) {
    CompletableFuture<CommandReply> future = pendingReplies.remove(reply.getRequestId());
    if (future != null) {
      future.complete(reply);
    }
  }

  /**
   * Sends a command repeatedly until it is applied or the timeout expires.
   *
   * @return the reply of the leader that applied the command, or a reply with status {@code
   *     UNKNOWN} if the command may have been accepted, {@code UNAVAILABLE} if it cannot have been
   */
  public CommandReply execute(int groupId, ByteString command, long timeoutMillis)
      throws InterruptedException {
    long deadlineMillis = clock.nowMillis() + timeoutMillis;
    boolean mayBeAccepted = false;
    int attempt = 0;
    while (clock.nowMillis() < deadlineMillis) {
      String target = chooseTarget(groupId, attempt++);
      if (target.isEmpty()) {
        Thread.sleep(RETRY_DELAY_MILLIS);
        continue;
      }
      CommandReply reply = sendOnce(groupId, target, command, deadlineMillis);
      switch (reply.getStatus()) {
        case COMMAND_STATUS_APPLIED -> {
          leaderByGroup.put(groupId, target);
          return reply;
        }
        case COMMAND_STATUS_NOT_LEADER, COMMAND_STATUS_UNAVAILABLE ->
            updateLeader(groupId, target, reply.getLeaderHost());
        default -> {
          mayBeAccepted = true;
          updateLeader(groupId, target, "");
        }
      }
      if (reply.getLeaderHost().isEmpty()) {
        Thread.sleep(RETRY_DELAY_MILLIS);
      }
    }
    return reply(
        mayBeAccepted
            ? CommandStatus.COMMAND_STATUS_UNKNOWN
            : CommandStatus.COMMAND_STATUS_UNAVAILABLE);
  }

  private void updateLeader(int groupId, String target, String newLeader) {
    if (newLeader.isEmpty()) {
      leaderByGroup.remove(groupId, target);
    } else {
      leaderByGroup.put(groupId, newLeader);
    }
  }

  private CommandReply sendOnce(int groupId, String target, ByteString command, long deadlineMillis)
      throws InterruptedException {
    long requestId = requestNumbers.next();
    CompletableFuture<CommandReply> future = new CompletableFuture<>();
    pendingReplies.put(requestId, future);
    CommandRequest request =
        CommandRequest.newBuilder()
            .setRequestId(requestId)
            .setGroupId(groupId)
            .setCommand(command)
            .build();
    try {
      if (!network.send(target, Envelope.newBuilder().setCommandRequest(request))) {
        return reply(CommandStatus.COMMAND_STATUS_UNAVAILABLE);
      }
      long timeoutMillis = Math.min(ATTEMPT_TIMEOUT_MILLIS, deadlineMillis - clock.nowMillis());
      return future.get(Math.max(1, timeoutMillis), TimeUnit.MILLISECONDS);
    } catch (TimeoutException | ExecutionException e) {
      return reply(CommandStatus.COMMAND_STATUS_UNKNOWN);
    } finally {
      pendingReplies.remove(requestId);
    }
  }

  private String chooseTarget(int groupId, int attempt) {
    String leader = leaderByGroup.get(groupId);
    if (leader != null) {
      return leader;
    }
    List<String> controlHosts = reachableControlHosts();
    return controlHosts.isEmpty() ? "" : controlHosts.get(attempt % controlHosts.size());
  }

  /** Returns the sorted names of the reachable control hosts, including this host if it is one. */
  public List<String> reachableControlHosts() {
    List<String> names = new ArrayList<>();
    for (HostRecord host : network.connectedHosts()) {
      if (host.getControl()) {
        names.add(host.getName());
      }
    }
    if (network.self().getControl()) {
      names.add(network.selfName());
    }
    names.sort(null);
    return names;
  }

  private static CommandReply reply(CommandStatus status) {
    return CommandReply.newBuilder().setStatus(status).build();
  }
}
