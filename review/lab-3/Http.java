import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 over plain sockets, as far as the tests need it. */
final class Http {
  private Http() {}

  /** A message: its first line, headers with names in lower case, and body. */
  record Message(String line, Map<String, String> headers, String body) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(), "");
    }

    int status() {
      return Integer.parseInt(line.split(" ", 3)[1]);
    }

    String method() {
      return line.split(" ")[0];
    }

    String path() {
      return line.split(" ")[1];
    }
  }

  static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  static Socket connect(String address, int timeoutMillis) throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(address(address), timeoutMillis);
    socket.setSoTimeout(timeoutMillis);
    return socket;
  }

  static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Reads a line without its end; null at the end of the input before its first byte. */
  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int octet = in.read();
    if (octet < 0) {
      return null;
    }
    while (octet != '\n') {
      if (octet < 0) {
        throw new EOFException("the input ended inside a line");
      }
      if (octet != '\r') {
        line.write(octet);
      }
      octet = in.read();
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads the first line and the headers; null if the other side closed in order before. */
  static Message readHead(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    String header = readLine(in);
    while (header != null && !header.isEmpty()) {
      int colon = header.indexOf(':');
      headers.put(header.substring(0, colon).toLowerCase(), header.substring(colon + 1).strip());
      header = readLine(in);
    }
    return new Message(line, headers, "");
  }

  /** Reads a message whose body has a length or chunks, or none. */
  static Message read(InputStream in) throws IOException {
    Message head = readHead(in);
    return head == null ? null : new Message(head.line(), head.headers(), readBody(in, head));
  }

  private static String readBody(InputStream in, Message head) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
      String chunk = readChunk(in);
      while (!chunk.isEmpty()) {
        body.writeBytes(chunk.getBytes(StandardCharsets.ISO_8859_1));
        chunk = readChunk(in);
      }
    } else if (!head.header("content-length").isEmpty()) {
      byte[] bytes = in.readNBytes(Integer.parseInt(head.header("content-length")));
      if (bytes.length < Integer.parseInt(head.header("content-length"))) {
        throw new EOFException("the input ended inside a body");
      }
      body.writeBytes(bytes);
    }
    return body.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads one chunk; empty at the end of the body. */
  static String readChunk(InputStream in) throws IOException {
    String size = readLine(in);
    if (size == null) {
      throw new EOFException("the input ended before a chunk");
    }
    int length = Integer.parseInt(size.split(";")[0].strip(), 16);
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length || readLine(in) == null) {
      throw new EOFException("the input ended inside a chunk");
    }
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  /** Sends a request on a connection of its own and returns the answer. */
  static Message call(String address, String method, String path, String body, int timeoutMillis)
      throws IOException {
    try (Socket socket = connect(address, timeoutMillis)) {
      write(
          socket,
          method + " " + path + " HTTP/1.1\r\nHost: " + address
              + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
              + body.length() + "\r\n\r\n" + body);
      Message answer = read(new BufferedInputStream(socket.getInputStream()));
      if (answer == null) {
        throw new EOFException("no answer");
      }
      return answer;
    }
  }
}
