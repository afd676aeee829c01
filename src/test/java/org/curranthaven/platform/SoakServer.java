package org.curranthaven.platform;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A backend server of a soak; its script decides how it fails. Thread-safe. */
final class SoakServer implements AutoCloseable {
  private static final int BACKLOG = 50;

  private final Identity identity;
  private final SoakScript script;
  private final ServerSocket listener = new ServerSocket();
  private final List<SoakConnection> connections = new CopyOnWriteArrayList<>();
  private volatile boolean crashed;

  /** What a server says of itself when it registers. */
  record Identity(String id, String service, String version, String dataCentre) {}

  /** Starts a server at a port, or at any if another socket has taken it. */
  SoakServer(Identity identity, int port, SoakScript script) throws IOException {
    this.identity = identity;
    this.script = script;
    listener.setReuseAddress(true);
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try {
      listener.bind(new InetSocketAddress(loopback, port), BACKLOG);
    } catch (BindException e) {
      listener.bind(new InetSocketAddress(loopback, 0), BACKLOG);
    }
    Thread.ofVirtual().start(this::accept);
  }

  Identity identity() {
    return identity;
  }

  int port() {
    return listener.getLocalPort();
  }

  String address() {
    return "127.0.0.1:" + port();
  }

  private void accept() {
    while (!crashed) {
      try {
        SoakConnection connection = new SoakConnection(listener.accept());
        connections.add(connection);
        Thread.ofVirtual().start(() -> serve(connection));
        if (crashed) {
          connection.reset();
        }
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(SoakConnection connection) {
    try (connection) {
      while (connection.isOpen()) {
        script.respond(connection.readRequest(), connection);
      }
    } catch (IOException | InterruptedException | RuntimeException e) {
      // The gateway or the server closed the connection.
    }
  }

  /** Resets all connections and accepts no others. */
  void crash() throws IOException {
    crashed = true;
    listener.close();
    for (SoakConnection connection : connections) {
      connection.reset();
    }
  }

  @Override
  public void close() throws IOException {
    crash();
  }
}
