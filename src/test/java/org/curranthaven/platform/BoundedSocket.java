package org.curranthaven.platform;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;

/**
 * Connection of a test to a host, whose reads fail when nothing has come for longer than a gateway
 * may take to answer. Interrupts, as of JUnit's timeouts, do not end a blocked read.
 */
final class BoundedSocket extends Socket {
  /** Time without a byte after which a gateway has missed the timeout of every route. */
  static final long SILENCE_LIMIT_MILLIS =
      RoutedFleetFixture.LONGEST_ROUTE_TIMEOUT_MILLIS + RoutedFleetFixture.ANSWER_MARGIN_MILLIS;

  private static final int CONNECT_TIMEOUT_MILLIS = 10_000;

  private final InetSocketAddress address;

  /** Connects to an address in the form IP:PORT. */
  BoundedSocket(String address) throws IOException {
    int colon = address.lastIndexOf(':');
    this.address =
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    super.setSoTimeout((int) SILENCE_LIMIT_MILLIS);
    connect(this.address, CONNECT_TIMEOUT_MILLIS);
  }

  /** Sets the time without a byte after which a read fails; there is no read without a limit. */
  @Override
  public void setSoTimeout(int timeoutMillis) throws SocketException {
    super.setSoTimeout(timeoutMillis == 0 ? (int) SILENCE_LIMIT_MILLIS : timeoutMillis);
  }

  @Override
  public InputStream getInputStream() throws IOException {
    return new BoundedInputStream(super.getInputStream());
  }

  private final class BoundedInputStream extends FilterInputStream {
    BoundedInputStream(InputStream in) {
      super(in);
    }

    @Override
    public int read() throws IOException {
      try {
        return super.read();
      } catch (SocketTimeoutException e) {
        throw timeout(e);
      }
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
      try {
        return super.read(bytes, offset, length);
      } catch (SocketTimeoutException e) {
        throw timeout(e);
      }
    }

    private SocketTimeoutException timeout(SocketTimeoutException cause) throws IOException {
      SocketTimeoutException timeout =
          new SocketTimeoutException(
              "no byte and no end from %s within %d ms".formatted(address, getSoTimeout()));
      timeout.initCause(cause);
      return timeout;
    }
  }
}
