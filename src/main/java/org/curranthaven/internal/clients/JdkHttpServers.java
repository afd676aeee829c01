package org.curranthaven.internal.clients;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * Creates servers of the JDK whose connections and heads are bounded. The JDK reads these bounds
 * once in a process, from system properties; one that an operator has set stays.
 */
public final class JdkHttpServers {
  private static final String MAX_CONNECTIONS = "jdk.httpserver.maxConnections";
  private static final String MAX_REQUEST_SECONDS = "sun.net.httpserver.maxReqTime";
  private static final String MAX_HEAD_BYTES = "sun.net.httpserver.maxReqHeaderSize";

  private static final int MAX_HEAD_SIZE = 64 * 1024;

  /** Time for a whole request to arrive, head and body. */
  private static final int REQUEST_SECONDS = 30;

  private JdkHttpServers() {}

  /**
   * Creates a server that does not listen yet.
   *
   * @param maxConnections most open connections
   * @throws IOException if the address cannot be listened on
   */
  public static HttpServer create(InetSocketAddress address, int backlog, int maxConnections)
      throws IOException {
    setDefault(MAX_CONNECTIONS, maxConnections);
    setDefault(MAX_REQUEST_SECONDS, REQUEST_SECONDS);
    setDefault(MAX_HEAD_BYTES, MAX_HEAD_SIZE);
    return HttpServer.create(address, backlog);
  }

  private static void setDefault(String property, int value) {
    if (System.getProperty(property) == null) {
      System.setProperty(property, Integer.toString(value));
    }
  }
}
