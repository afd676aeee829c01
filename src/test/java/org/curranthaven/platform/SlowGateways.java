package org.curranthaven.platform;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import org.curranthaven.internal.settings.Addresses;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.GatewayStatus;
import org.curranthaven.internal.transport.wire.Hello;
import org.curranthaven.internal.transport.wire.HostRecord;
import org.curranthaven.internal.transport.wire.Ping;
import org.curranthaven.internal.transport.wire.SchedulerView;

/**
 * Gateways that read what control hosts send them at the rate of a slow link, and acknowledge what
 * they have read. Each connects to every control host again when its connection ends.
 */
final class SlowGateways implements AutoCloseable {
  private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;
  private static final int READ_BYTES = 8 * 1024;
  private static final long PING_INTERVAL_MILLIS = 400;
  private static final long RECONNECT_DELAY_MILLIS = 200;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final int bytesPerSecond;
  private final List<SlowGateway> gateways = new ArrayList<>();
  private final List<Thread> threads = Collections.synchronizedList(new ArrayList<>());

  /**
   * Connects gateways to control hosts.
   *
   * @param count number of gateways
   * @param bytesPerSecond rate at which each connection is read
   * @param controlPeers addresses of the control hosts for other hosts
   */
  SlowGateways(int count, int bytesPerSecond, Collection<String> controlPeers) {
    this.bytesPerSecond = bytesPerSecond;
    for (int number = 1; number <= count; number++) {
      SlowGateway gateway = new SlowGateway(number);
      gateways.add(gateway);
      controlPeers.forEach(
          address -> threads.add(Thread.ofVirtual().start(() -> gateway.run(address))));
    }
  }

  /** Returns how many gateways have read a configuration of the given revision, or a later one. */
  long withRevision(long revision) {
    return gateways.stream().filter(gateway -> gateway.revision >= revision).count();
  }

  private final class SlowGateway {
    private final HostRecord self;
    private volatile long revision;
    private volatile long term;

    SlowGateway(int number) {
      self =
          HostRecord.newBuilder()
              .setName("slow-" + number)
              .setDataCentre("here")
              .setPeerAddress("127.255.255.1:" + number)
              .setIncarnation(1)
              .build();
    }

    void run(String address) {
      while (!Thread.currentThread().isInterrupted()) {
        try (Socket socket = new Socket()) {
          socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
          InetSocketAddress target = Addresses.parse(address);
          socket.connect(target, CONNECT_TIMEOUT_MILLIS);
          readUntilClosed(socket);
        } catch (IOException e) {
          // The host is not there at present.
        }
        if (!sleep(RECONNECT_DELAY_MILLIS)) {
          return;
        }
      }
    }

    private void readUntilClosed(Socket socket) throws IOException {
      send(socket, Envelope.newBuilder().setHello(Hello.newBuilder().setHost(self)));
      Thread pings = Thread.ofVirtual().start(() -> sendPings(socket));
      try {
        InputStream in = new SlowInput(socket.getInputStream());
        Envelope message = Envelope.parseDelimitedFrom(in);
        while (message != null) {
          if (message.hasSchedulerView()) {
            acknowledge(socket, message.getSchedulerView());
          }
          message = Envelope.parseDelimitedFrom(in);
        }
      } finally {
        pings.interrupt();
      }
    }

    private void acknowledge(Socket socket, SchedulerView view) throws IOException {
      if (!view.getCatalog().isEmpty()) {
        revision = Math.max(revision, view.getCatalogRevision());
      }
      boolean isNew = view.getTerm() > term;
      term = Math.max(term, view.getTerm());
      GatewayStatus status =
          GatewayStatus.newBuilder()
              .setTerm(view.getTerm())
              .setVersion(view.getVersion())
              .setCatalogRevision(revision)
              .setFull(isNew || view.getFullStatusRequested())
              .setNumber(1)
              .build();
      send(socket, Envelope.newBuilder().setGatewayStatus(status));
    }

    private void sendPings(Socket socket) {
      try {
        while (sleep(PING_INTERVAL_MILLIS)) {
          send(socket, Envelope.newBuilder().setPing(Ping.getDefaultInstance()));
        }
      } catch (IOException e) {
        // The reader notices the end of the connection, too.
      }
    }

    private void send(Socket socket, Envelope.Builder message) throws IOException {
      synchronized (socket) {
        message.setFromHost(self.getName()).build().writeDelimitedTo(socket.getOutputStream());
      }
    }
  }

  /** Passes bytes on no faster than the rate. */
  private final class SlowInput extends FilterInputStream {
    SlowInput(InputStream in) {
      super(in);
    }

    @Override
    public int read() throws IOException {
      byte[] single = new byte[1];
      return read(single, 0, 1) < 0 ? -1 : single[0] & 0xff;
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
      int read = super.read(bytes, offset, Math.min(length, READ_BYTES));
      if (read == READ_BYTES && !sleep(read * MILLIS_PER_SECOND / bytesPerSecond)) {
        throw new IOException("interrupted");
      }
      return read;
    }
  }

  private static boolean sleep(long millis) {
    try {
      Thread.sleep(millis);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  @Override
  public void close() throws InterruptedException {
    for (Thread thread : threads) {
      thread.interrupt();
    }
    for (Thread thread : threads) {
      thread.join();
    }
  }
}
