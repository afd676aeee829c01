package org.curranthaven.internal.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.HostRecord;
import org.curranthaven.internal.transport.wire.Ping;
import org.junit.jupiter.api.Test;

class PeerConnectionTest {
  private static EmbeddedChannel connect() {
    HostRecord self = HostRecord.newBuilder().setName("host-1").build();
    PeerNetwork network =
        new PeerNetwork("127.0.0.1:1", List.of(), () -> self, new NoOpPeerListener());
    return new EmbeddedChannel(new PeerConnection(network, "", null));
  }

  @Test
  void a_ping_is_not_answered_since_each_host_sends_its_own() {
    EmbeddedChannel channel = connect();
    Envelope hello = channel.readOutbound();
    assertThat(hello.hasHello()).isTrue();

    channel.writeInbound(Envelope.newBuilder().setPing(Ping.newBuilder().setNonce(1)).build());

    Envelope answer = channel.readOutbound();
    assertThat(answer).isNull();
  }

  @Test
  void the_connections_of_a_process_ping_at_the_same_times() {
    long interval = PeerNetwork.PING_INTERVAL_MILLIS;

    assertThat(1_000_003 + PeerConnection.millisToNextPing(1_000_003))
        .isEqualTo(1_000_377 + PeerConnection.millisToNextPing(1_000_377));
    assertThat(PeerConnection.millisToNextPing(7 * interval)).isEqualTo(interval);
  }
}
