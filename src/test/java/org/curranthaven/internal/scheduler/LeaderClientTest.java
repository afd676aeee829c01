package org.curranthaven.internal.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.curranthaven.internal.relay.ManualTime;
import org.curranthaven.internal.transport.wire.AdminReply;
import org.curranthaven.internal.transport.wire.Envelope;
import org.junit.jupiter.api.Test;

/** Guards against requests that are acknowledged by the leader's reply to another request. */
class LeaderClientTest {
  private final ManualTime time = new ManualTime();
  private final List<Envelope> sent = new ArrayList<>();
  private final List<ControlResponse> responses = new ArrayList<>();

  /** Starts a process of the same control host. */
  private LeaderClient startProcess() {
    return new LeaderClient(
        time.loop(), time, (host, message) -> sent.add(message.build()), () -> "leader");
  }

  private void send(LeaderClient client, String path) {
    client.send(path, ByteString.EMPTY, 900, responses::add);
  }

  private AdminReply acknowledgeLast() {
    return AdminReply.newBuilder()
        .setRequestId(sent.getLast().getAdminRequest().getRequestId())
        .setStatus(LeaderClient.OK)
        .build();
  }

  @Test
  void a_reply_to_an_earlier_process_of_the_host_acknowledges_no_other_request() {
    send(startProcess(), LeaderClient.REGISTER);
    AdminReply late = acknowledgeLast();
    LeaderClient restarted = startProcess();
    send(restarted, LeaderClient.EVACUATE);

    restarted.handleReply(late);
    assertThat(responses).isEmpty();
    restarted.handleReply(acknowledgeLast());

    assertThat(responses).hasSize(1);
  }

  @Test
  void a_reply_to_an_attempt_that_timed_out_is_discarded() {
    LeaderClient client = startProcess();
    send(client, LeaderClient.EVACUATE);
    AdminReply late = acknowledgeLast();
    time.advance(800);
    assertThat(sent).hasSize(2);

    client.handleReply(late);

    assertThat(responses).isEmpty();
  }
}
