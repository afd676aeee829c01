package org.curranthaven.platform;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.curranthaven.internal.settings.Addresses;

/** Forwards connections to an address; what either side sends may be held up. Thread-safe. */
final class DelayedConnections implements AutoCloseable {
  private static final String IP = "127.0.0.99";
  private static final int BUFFER_BYTES = 16 * 1024;

  private final ServerSocket socket;
  private final String target;
  private final String address;
  private final List<Socket> connections = new CopyOnWriteArrayList<>();
  private final Delay requests = new Delay();
  private final Delay replies = new Delay();
  private volatile boolean heldUp;

  /** Bytes and when they are to be passed on. */
  private record Chunk(ByteString bytes, long dueNanos) {}

  /** How long one direction is held up. */
  private static final class Delay {
    volatile long millis;
  }

  DelayedConnections(String target) throws IOException {
    this(target, IP);
  }

  /** Listens on another IP address at the port of the target, since all hosts use one peer port. */
  DelayedConnections(String target, String ip) throws IOException {
    int port = Addresses.parse(target).getPort();
    this.target = target;
    this.address = ip + ":" + port;
    this.socket = new ServerSocket(port, 50, InetAddress.getByName(ip));
    Thread.ofVirtual().start(this::accept);
  }

  String address() {
    return address;
  }

  /** Returns whether something was held up. */
  boolean hasHeldUp() {
    return heldUp;
  }

  /** Holds up what the connecting side sends from now on. */
  void holdUp(long newDelayMillis) {
    requests.millis = newDelayMillis;
  }

  /** Holds up what the other side sends from now on. */
  void holdUpReplies(long newDelayMillis) {
    replies.millis = newDelayMillis;
  }

  private void accept() {
    while (!socket.isClosed()) {
      try {
        Socket from = socket.accept();
        Socket to = new Socket();
        to.connect(Addresses.parse(target));
        to.setTcpNoDelay(true);
        from.setTcpNoDelay(true);
        connections.add(from);
        connections.add(to);
        forward(from, to, requests);
        forward(to, from, replies);
      } catch (IOException e) {
        // The control host does not listen yet, or the test has ended.
      }
    }
  }

  private void forward(Socket from, Socket to, Delay delay) {
    BlockingQueue<Chunk> held = new LinkedBlockingQueue<>();
    Thread.ofVirtual().start(() -> hold(from, held, delay));
    Thread.ofVirtual().start(() -> release(held, to, from));
  }

  private void hold(Socket from, BlockingQueue<Chunk> held, Delay delay) {
    byte[] buffer = new byte[BUFFER_BYTES];
    int length = 0;
    while (length >= 0) {
      try {
        length = from.getInputStream().read(buffer);
      } catch (IOException e) {
        length = -1;
      }
      long delayMillis = delay.millis;
      if (delayMillis > 0 && length > 0) {
        heldUp = true;
      }
      long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMillis);
      held.add(new Chunk(ByteString.copyFrom(buffer, 0, Math.max(0, length)), dueNanos));
    }
  }

  private static void release(BlockingQueue<Chunk> held, Socket to, Socket from) {
    try (to;
        from) {
      Chunk chunk = held.take();
      while (!chunk.bytes().isEmpty()) {
        TimeUnit.NANOSECONDS.sleep(chunk.dueNanos() - System.nanoTime());
        chunk.bytes().writeTo(to.getOutputStream());
        chunk = held.take();
      }
    } catch (IOException e) {
      // One side has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
    for (Socket connection : connections) {
      connection.close();
    }
  }
}
