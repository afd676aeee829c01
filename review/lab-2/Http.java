import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 over plain sockets, as far as the stand-ins need it. */
final class Http {
  private Http() {}

  /**
   * A response.
   *
   * @param complete whether the end of the response was marked
   */
  record Response(int status, Map<String, String> headers, byte[] body, boolean complete) {
    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  static InetSocketAddress address(String hostAndPort) {
    int colon = hostAndPort.lastIndexOf(':');
    return new InetSocketAddress(
        hostAndPort.substring(0, colon), Integer.parseInt(hostAndPort.substring(colon + 1)));
  }

  /** Sends one request with a JSON body over a connection of its own. */
  static Response call(
      InetSocketAddress address, String method, String path, String body, int timeoutMillis)
      throws IOException {
    String head =
        method + " " + path + " HTTP/1.1\r\nHost: " + address.getHostString() + "\r\n"
            + "Content-Type: application/json\r\nConnection: close\r\n"
            + "Content-Length: " + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n";
    return exchange(address, (head + body).getBytes(StandardCharsets.UTF_8), timeoutMillis);
  }

  /** Sends bytes over a connection of its own and reads one response. */
  static Response exchange(InetSocketAddress address, byte[] request, int timeoutMillis)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(timeoutMillis);
      socket.connect(address, Math.min(timeoutMillis, 1_000));
      OutputStream out = socket.getOutputStream();
      out.write(request);
      out.flush();
      return readResponse(new BufferedInputStream(socket.getInputStream()));
    }
  }

  static Response readResponse(InputStream in) throws IOException {
    String statusLine = readLine(in);
    if (statusLine == null) {
      throw new IOException("closed without an answer");
    }
    int status = Integer.parseInt(statusLine.split(" ")[1]);
    Map<String, String> headers = readHeaders(in);
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean complete = true;
    try {
      if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
        complete = readChunks(in, body);
      } else if (headers.containsKey("content-length")) {
        int length = Integer.parseInt(headers.get("content-length"));
        byte[] bytes = in.readNBytes(length);
        body.write(bytes);
        complete = bytes.length == length;
      } else if (status != 204 && status != 304 && status >= 200) {
        in.transferTo(body);
      }
    } catch (java.net.SocketException e) {
      complete = false;
    }
    return new Response(status, headers, body.toByteArray(), complete);
  }

  private static boolean readChunks(InputStream in, ByteArrayOutputStream body)
      throws IOException {
    while (true) {
      String line = readLine(in);
      if (line == null) {
        return false;
      }
      int length = Integer.parseInt(line.strip(), 16);
      byte[] bytes = in.readNBytes(length);
      body.write(bytes);
      if (bytes.length < length || readLine(in) == null) {
        return false;
      }
      if (length == 0) {
        return true;
      }
    }
  }

  /** Returns the headers by their names in lower case. */
  static Map<String, String> readHeaders(InputStream in) throws IOException {
    Map<String, String> headers = new LinkedHashMap<>();
    String line = readLine(in);
    while (line != null && !line.isEmpty()) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).strip().toLowerCase(Locale.ROOT),
          line.substring(colon + 1).strip());
      line = readLine(in);
    }
    return headers;
  }

  /** Returns the next line; null at the end of the stream. */
  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int octet = in.read();
    if (octet < 0) {
      return null;
    }
    while (octet >= 0 && octet != '\n') {
      if (octet != '\r') {
        line.write(octet);
      }
      octet = in.read();
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }
}
