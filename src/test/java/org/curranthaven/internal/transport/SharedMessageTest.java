package org.curranthaven.internal.transport;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.HostRecord;
import org.curranthaven.internal.transport.wire.SchedulerView;
import org.junit.jupiter.api.Test;

/** Guards against memory for a configuration that grows with the gateways it is on its way to. */
class SharedMessageTest {
  private static final int DOCUMENT_BYTES = 4 * 1024 * 1024;

  private static final Envelope HEARTBEAT =
      Envelope.newBuilder()
          .setFromHost("control-1")
          .setSchedulerView(SchedulerView.newBuilder().setTerm(7).setCatalogRevision(3))
          .build();

  private final UnwrittenBytes unwritten = new UnwrittenBytes(6 * 1024 * 1024);
  private final SharedMessage document = document();
  private int written;

  private static SharedMessage document() {
    return new SharedMessage(
        Envelope.newBuilder()
            .setSchedulerView(
                SchedulerView.newBuilder()
                    .setCatalog(ByteString.copyFrom(new byte[DOCUMENT_BYTES])))
            .build());
  }

  /** A connection to a host that reads nothing until {@link #readAll}. */
  private static final class SlowConnection extends ChannelOutboundHandlerAdapter {
    private final List<ByteBuf> buffers = new ArrayList<>();
    private final List<ChannelPromise> promises = new ArrayList<>();
    private final PeerConnection connection;

    SlowConnection() {
      HostRecord self = HostRecord.newBuilder().setName("control-1").build();
      PeerNetwork network =
          new PeerNetwork("127.0.0.1:1", List.of(), () -> self, new NoOpPeerListener());
      connection = new PeerConnection(network, "", null);
      EmbeddedChannel channel =
          new EmbeddedChannel(this, new ProtobufVarint32LengthFieldPrepender(), connection);
      assertThat(channel.isActive()).isTrue();
      buffers.clear();
      promises.clear();
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      if (message instanceof ByteBuf buffer) {
        buffers.add(buffer);
        promises.add(promise);
      }
    }

    Envelope readAll() throws IOException {
      ByteBuf all = Unpooled.wrappedBuffer(buffers.toArray(ByteBuf[]::new));
      promises.stream().filter(promise -> !promise.isVoid()).forEach(ChannelPromise::setSuccess);
      try (ByteBufInputStream in = new ByteBufInputStream(all, true)) {
        Envelope message = Envelope.parseDelimitedFrom(in);
        assertThat(in.available()).isZero();
        return message;
      }
    }
  }

  private boolean send(SlowConnection to, SharedMessage shared) {
    return to.connection.write(HEARTBEAT, shared, unwritten, () -> written++);
  }

  @Test
  void a_host_reads_one_message_with_the_fields_of_both() throws IOException {
    SlowConnection connection = new SlowConnection();

    assertThat(send(connection, document)).isTrue();

    assertThat(connection.readAll())
        .isEqualTo(HEARTBEAT.toBuilder().mergeFrom(document.message()).build());
  }

  @Test
  void many_connections_hold_one_copy_until_the_last_has_written_it() throws IOException {
    List<SlowConnection> connections = new ArrayList<>();
    for (int number = 0; number < 300; number++) {
      connections.add(new SlowConnection());
    }

    connections.forEach(connection -> assertThat(send(connection, document)).isTrue());

    assertThat(unwritten.reservedBytes()).isEqualTo(document.size());
    ByteBuf copy = connections.getFirst().buffers.getLast();
    for (SlowConnection connection : connections) {
      assertThat(unwritten.reservedBytes()).isEqualTo(document.size());
      connection.readAll();
    }
    assertThat(unwritten.reservedBytes()).isZero();
    assertThat(copy.refCnt()).isZero();
    assertThat(written).isEqualTo(300);
  }

  @Test
  void a_connection_has_one_shared_message_to_write_at_a_time() throws IOException {
    SlowConnection connection = new SlowConnection();
    assertThat(send(connection, document)).isTrue();

    assertThat(send(connection, document)).isFalse();

    connection.readAll();
    connection.buffers.clear();
    connection.promises.clear();
    assertThat(send(connection, document)).isTrue();
  }

  @Test
  void a_document_that_does_not_fit_beside_another_waits_until_that_was_written()
      throws IOException {
    SlowConnection first = new SlowConnection();
    SlowConnection second = new SlowConnection();
    SharedMessage next = document();
    assertThat(send(first, document)).isTrue();

    assertThat(send(second, next)).isFalse();

    first.readAll();
    assertThat(send(second, next)).isTrue();
    assertThat(unwritten.refusals()).isEqualTo(1);
  }

  @Test
  void a_message_larger_than_the_bound_is_sent_when_nothing_else_is() {
    UnwrittenBytes small = new UnwrittenBytes(10);

    assertThat(small.reserve(11)).isTrue();
    assertThat(small.reserve(1)).isFalse();

    small.release(11);
    assertThat(small.reserve(4)).isTrue();
    assertThat(small.reserve(6)).isTrue();
  }
}
