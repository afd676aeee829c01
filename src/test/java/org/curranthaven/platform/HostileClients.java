package org.curranthaven.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.curranthaven.internal.settings.Addresses;
import org.jspecify.annotations.Nullable;

/**
 * Connections that each write a script and stay open. One that is closed by the other side is
 * opened again after a pause.
 *
 * <pre>{@code
 * HostileClients.run(address, 200, List.of(Script.silent()), DURATION_MILLIS);
 * }</pre>
 */
final class HostileClients {
  private static final int BLOCK_BYTES = 64 * 1024;
  private static final long REOPEN_PAUSE_MILLIS = 20;
  private static final long SELECT_MILLIS = 10;

  private final InetSocketAddress address;
  private final List<Client> clients = new ArrayList<>();
  private final ByteBuffer received = ByteBuffer.allocate(BLOCK_BYTES);

  /** What one connection sends: a start, and then a pattern again and again. */
  static final class Script {
    private final byte[] start;
    private final byte[] repeated;

    /** Size at which nothing more is sent. */
    private final long bytes;

    /** Whether responses are read. */
    private final boolean reads;

    private Script(byte[] start, byte[] repeated, long bytes, boolean reads) {
      this.start = start;
      this.repeated = repeated;
      this.bytes = bytes;
      this.reads = reads;
    }

    static Script silent() {
      return of("", "", 0);
    }

    static Script endless(String start, String repeated) {
      return of(start, repeated, Long.MAX_VALUE);
    }

    /** Returns a script that stops after a number of bytes and stays open. */
    static Script of(String start, String repeated, long bytes) {
      return new Script(start.getBytes(StandardCharsets.ISO_8859_1), block(repeated), bytes, true);
    }

    Script unread() {
      return new Script(start, repeated, bytes, false);
    }

    /** Repeats a short pattern, so that each write sends much of it. */
    private static byte[] block(String repeated) {
      byte[] pattern = repeated.getBytes(StandardCharsets.ISO_8859_1);
      ByteArrayOutputStream block = new ByteArrayOutputStream();
      do {
        block.writeBytes(pattern);
      } while (pattern.length > 0 && block.size() < BLOCK_BYTES);
      return block.toByteArray();
    }
  }

  private static final class Client {
    private final Script script;
    private @Nullable SocketChannel channel;
    private long sentBytes;
    private long reopenAtMillis;

    Client(Script script) {
      this.script = script;
    }
  }

  private HostileClients(String address, int connections, List<Script> scripts) {
    this.address = Addresses.parse(address);
    for (int i = 0; i < connections; i++) {
      clients.add(new Client(scripts.get(i % scripts.size())));
    }
  }

  /** Keeps connections open for a time, whose scripts are the given ones in turn. */
  static void run(String address, int connections, List<Script> scripts, long durationMillis)
      throws IOException {
    new HostileClients(address, connections, scripts).run(durationMillis);
  }

  private void run(long durationMillis) throws IOException {
    long endMillis = nowMillis() + durationMillis;
    try (Selector selector = Selector.open()) {
      while (nowMillis() < endMillis) {
        for (Client client : clients) {
          if (client.channel == null && nowMillis() >= client.reopenAtMillis) {
            open(client, selector);
          }
        }
        selector.select(key -> handle((Client) key.attachment(), key), SELECT_MILLIS);
      }
    } finally {
      clients.forEach(HostileClients::close);
    }
  }

  private static long nowMillis() {
    return System.nanoTime() / 1_000_000;
  }

  private void open(Client client, Selector selector) throws IOException {
    SocketChannel channel = SocketChannel.open();
    client.channel = channel;
    client.sentBytes = 0;
    channel.configureBlocking(false);
    try {
      channel.connect(address);
      channel.register(selector, SelectionKey.OP_CONNECT, client);
    } catch (IOException e) {
      close(client);
    }
  }

  private void handle(Client client, SelectionKey key) {
    SocketChannel channel = (SocketChannel) key.channel();
    try {
      if (key.isConnectable()) {
        channel.finishConnect();
        key.interestOps(SelectionKey.OP_WRITE | (client.script.reads ? SelectionKey.OP_READ : 0));
      }
      if (key.isReadable() && channel.read(received.clear()) < 0) {
        throw new IOException("closed by the other side");
      }
      if (key.isWritable() && !write(client, channel)) {
        key.interestOpsAnd(~SelectionKey.OP_WRITE);
      }
    } catch (IOException e) {
      close(client);
    }
  }

  /** Writes the next part of the script; returns whether more is left of it. */
  private static boolean write(Client client, SocketChannel channel) throws IOException {
    Script script = client.script;
    long leftBytes = script.bytes - client.sentBytes;
    if (leftBytes <= 0) {
      return false;
    }
    boolean starting = client.sentBytes < script.start.length;
    byte[] source = starting ? script.start : script.repeated;
    long offset = starting ? client.sentBytes : client.sentBytes - script.start.length;
    int position = source.length == 0 ? 0 : (int) (offset % source.length);
    int length = (int) Math.min(leftBytes, source.length - position);
    client.sentBytes += channel.write(ByteBuffer.wrap(source, position, length));
    return source.length > 0;
  }

  private static void close(Client client) {
    SocketChannel channel = client.channel;
    client.channel = null;
    client.reopenAtMillis = nowMillis() + REOPEN_PAUSE_MILLIS;
    if (channel != null) {
      try {
        channel.close();
      } catch (IOException e) {
        throw new IllegalStateException("a socket of the test cannot be closed", e);
      }
    }
  }
}
