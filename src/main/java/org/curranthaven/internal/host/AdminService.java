package org.curranthaven.internal.host;

import com.google.protobuf.ByteString;
import java.util.Map;
import java.util.function.Consumer;
import org.curranthaven.internal.configuration.ConfigurationChange;
import org.curranthaven.internal.configuration.FleetCoordinator;
import org.curranthaven.internal.settings.Json;
import org.curranthaven.internal.transport.wire.AdminReply;
import org.curranthaven.internal.transport.wire.AdminRequest;

/** Handles, on a control host, operators' requests that other hosts forward. */
final class AdminService {
  private AdminService() {}

  static void handle(
      FleetCoordinator coordinator, AdminRequest request, Consumer<AdminReply> sendReply) {
    if (request.getPath().equals(ChangeClient.CHANGE_PATH)) {
      ConfigurationChange change = Json.read(request.getJson(), ConfigurationChange.class);
      coordinator
          .change(change)
          .thenAccept(outcome -> sendReply.accept(changeReply(request.getRequestId(), outcome)));
    } else if (request.getPath().equals(ChangeClient.HISTORY_PATH)) {
      coordinator.withState(
          state ->
              sendReply.accept(
                  reply(
                      request.getRequestId(),
                      ChangeClient.STATUS_OK,
                      Json.write(Map.of("history", state.configuration().history())))));
    }
  }

  private static AdminReply changeReply(long requestId, FleetCoordinator.ChangeOutcome outcome) {
    return switch (outcome) {
      case FleetCoordinator.ChangeOutcome.Completed completed ->
          reply(requestId, ChangeClient.STATUS_OK, Json.write(completed.result()));
      case FleetCoordinator.ChangeOutcome.NotLeader notLeader ->
          reply(requestId, ChangeClient.STATUS_NOT_LEADER, ByteString.EMPTY);
      case FleetCoordinator.ChangeOutcome.Unknown unknown ->
          reply(requestId, ChangeClient.STATUS_UNKNOWN, ByteString.EMPTY);
    };
  }

  private static AdminReply reply(long requestId, int status, ByteString json) {
    return AdminReply.newBuilder().setRequestId(requestId).setStatus(status).setJson(json).build();
  }
}
