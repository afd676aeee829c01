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
import org.junit.jupiter.api.Test;

class PeerNetworkTest {
  private static final long PATIENCE_MILLIS = 60_000;

  /** Long enough for a network that does not wait for its listener to end, in milliseconds. */
  private static final long EARLY_END_MILLIS = 500;

  /** Keeps its network thread busy from the first connection on until it is told to go on. */
  private static final class BusyListener implements PeerListener {
    private final CountDownLatch busy = new CountDownLatch(1);
    private final CountDownLatch release = new CountDownLatch(1);

    @Override
    public void received(HostRecord from, Envelope message) {}

    @Override
    public void connected(HostRecord host) {
      busy.countDown();
      try {
        assertThat(release.await(PATIENCE_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    @Override
    public void disconnected(HostRecord host) {}
  }

  private static final class QuietListener implements PeerListener {
    @Override
    public void received(HostRecord from, Envelope message) {}

    @Override
    public void connected(HostRecord host) {}

    @Override
    public void disconnected(HostRecord host) {}
  }

  private static PeerNetwork network(String name, String address, String other, PeerListener to) {
    HostRecord self = HostRecord.newBuilder().setName(name).setPeerAddress(address).build();
    return new PeerNetwork(address, List.of(other), () -> self, to);
  }

  @Test
  void a_network_that_has_ended_has_given_its_address_back()
      throws IOException, InterruptedException {
    List<String> addresses = LocalFleet.freeAddresses(2);
    BusyListener listener = new BusyListener();
    Thread running = network("one", addresses.get(0), addresses.get(1), listener).start();
    Thread other = network("two", addresses.get(1), addresses.get(0), new QuietListener()).start();
    assertThat(listener.busy.await(PATIENCE_MILLIS, TimeUnit.MILLISECONDS)).isTrue();

    running.interrupt();
    running.join(EARLY_END_MILLIS);
    if (running.isAlive()) {
      listener.release.countDown();
      running.join(PATIENCE_MILLIS);
    }

    assertThat(running.isAlive()).isFalse();
    assertThat(bindable(addresses.get(0))).isTrue();
    listener.release.countDown();
    other.interrupt();
  }

  private static boolean bindable(String address) {
    int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
