package org.curranthaven.internal.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.curranthaven.internal.standin.LocalFleet;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.HostRecord;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

class PeerNetworkTest {
  private static final long TIMEOUT_MILLIS = 60_000;

  /** Longer than a network takes to dial an address and to close its listening socket. */
  private static final long END_MILLIS = 4_000;

  /** Within this time, a network that does not wait for its listening socket to close has ended. */
  private static final long UNBLOCKED_STOP_MILLIS = 500;

  /**
   * Blocks its network thread from the first connection on until {@code release} is counted down.
   */
  private static final class BlockingListener implements PeerListener {
    private final CountDownLatch connected = new CountDownLatch(1);
    private final CountDownLatch release = new CountDownLatch(1);

    @Override
    public void received(HostRecord from, Envelope message) {}

    @Override
    public void connected(HostRecord host) {
      connected.countDown();
      try {
        assertThat(release.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    @Override
    public void disconnected(HostRecord host) {}
  }

  private static PeerNetwork network(
      String name, String address, String otherAddress, PeerListener listener) {
    HostRecord self = HostRecord.newBuilder().setName(name).setPeerAddress(address).build();
    return new PeerNetwork(address, List.of(otherAddress), () -> self, listener);
  }

  /** Guards against a discovered address that ends the thread that dials, and with it the host. */
  @Test
  void an_address_that_cannot_be_parsed_does_not_end_the_network()
      throws IOException, InterruptedException {
    List<String> addresses = LocalFleet.freeAddresses(2);
    PeerNetwork network =
        network("one", addresses.get(0), addresses.get(1), new NoOpPeerListener());
    Thread running = network.start();

    network.addDiscoveredAddress("nowhere");
    running.join(END_MILLIS);

    assertThat(running.isAlive()).isTrue();
    running.interrupt();
    running.join(TIMEOUT_MILLIS);
  }

  @Test
  @Tag("known-red")
  void a_network_that_has_ended_has_released_its_address()
      throws IOException, InterruptedException {
    List<String> addresses = LocalFleet.freeAddresses(2);
    BlockingListener listener = new BlockingListener();
    Thread running = network("one", addresses.get(0), addresses.get(1), listener).start();
    Thread other =
        network("two", addresses.get(1), addresses.get(0), new NoOpPeerListener()).start();
    assertThat(listener.connected.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();

    running.interrupt();
    running.join(UNBLOCKED_STOP_MILLIS);
    if (running.isAlive()) {
      listener.release.countDown();
      running.join(TIMEOUT_MILLIS);
    }

    assertThat(running.isAlive()).isFalse();
    assertThat(isBindable(addresses.get(0))).isTrue();
    listener.release.countDown();
    other.interrupt();
  }

  private static boolean isBindable(String address) {
    int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
