package org.curranthaven.platform;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;

/** A connection that a {@link SoakServer} accepted. Several threads may write to it. */
final class SoakConnection implements AutoCloseable {
  private static final int READ_TIMEOUT_MILLIS = 60_000;

  /** At the end of a body without length, a shorter part of a response may be part of the body. */
  private static final int MIN_COPY_BYTES = "HTTP/1.1 ".length();

  private final Socket socket;
  private final InputStream in;
  private boolean endsBody;

  /** A request whose body has not been read yet; header names are in lower case. */
  record Request(String line, Map<String, String> headers) {
    String path() {
      return line.split(" ")[1];
    }

    String id() {
      return header("Attempt-Id");
    }

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    int bodyBytes() {
      return Integer.parseInt(headers.getOrDefault("content-length", "0"));
    }
  }

  SoakConnection(Socket socket) throws IOException {
    this.socket = socket;
    this.in = new BufferedInputStream(socket.getInputStream());
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    socket.setTcpNoDelay(true);
  }

  boolean isOpen() {
    return !socket.isClosed();
  }

  Request readRequest() throws IOException {
    return new Request(RawHttp.readLine(in), RawHttp.readHeaders(in));
  }

  void skipBody(Request request) throws IOException {
    in.skipNBytes(request.bodyBytes());
  }

  synchronized void write(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().flush();
  }

  /** Writes a response whose body ends with the connection. */
  synchronized void writeWithoutLength(String text) throws IOException {
    endsBody = true;
    write(text);
  }

  /** Writes a second response, or a part of one, unless nobody could tell it from a body. */
  synchronized void writeCopy(String text) throws IOException {
    if (!endsBody || text.length() >= MIN_COPY_BYTES) {
      write(text);
    }
  }

  synchronized void reset() throws IOException {
    if (isOpen()) {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  @Override
  public synchronized void close() throws IOException {
    socket.close();
  }
}
