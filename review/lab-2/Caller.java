import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Requests of callers, each over a connection of its own. */
final class Caller {
  private static final AtomicInteger NUMBERS = new AtomicInteger();

  private Caller() {}

  /** Returns a request id that no other request of this run has. */
  static String newId(String prefix) {
    return prefix + "-" + NUMBERS.incrementAndGet();
  }

  static byte[] request(
      String method, String path, String id, String extraHeaders, byte[] body) {
    String head =
        method + " " + path + " HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: " + id + "\r\n"
            + extraHeaders + "Content-Length: " + body.length + "\r\n\r\n";
    byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = new byte[headBytes.length + body.length];
    System.arraycopy(headBytes, 0, all, 0, headBytes.length);
    System.arraycopy(body, 0, all, headBytes.length, body.length);
    return all;
  }

  /** An event of a stream, by its id and its data. */
  record Event(int id, String data) {}

  /** What a caller got of a stream. */
  static final class Stream {
    final String id;
    volatile int status;
    volatile boolean complete;
    final List<Event> events = new ArrayList<>();
    final InetSocketAddress gateway;
    private volatile Socket socket;

    Stream(String id, InetSocketAddress gateway) {
      this.id = id;
      this.gateway = gateway;
    }

    /** Closes the caller's connection in the middle of the stream. */
    void leave() throws IOException {
      Socket open = socket;
      if (open != null) {
        open.close();
      }
    }
  }

  /** All streams that were begun. */
  static final List<Stream> STREAMS = new CopyOnWriteArrayList<>();

  /** Sends a request for a stream and reads the response to its end. */
  static Stream stream(
      InetSocketAddress gateway, byte[] request, String id, int timeoutMillis) {
    Stream stream = new Stream(id, gateway);
    STREAMS.add(stream);
    try (Socket socket = new Socket()) {
      stream.socket = socket;
      socket.setSoTimeout(timeoutMillis);
      socket.connect(gateway, 1_000);
      OutputStream out = socket.getOutputStream();
      out.write(request);
      out.flush();
      InputStream in = new BufferedInputStream(socket.getInputStream());
      String statusLine = Http.readLine(in);
      if (statusLine == null) {
        return stream;
      }
      stream.status = Integer.parseInt(statusLine.split(" ")[1]);
      Map<String, String> headers = Http.readHeaders(in);
      if (!"chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
        return stream;
      }
      StringBuilder text = new StringBuilder();
      while (true) {
        String line = Http.readLine(in);
        if (line == null) {
          return stream;
        }
        int length = Integer.parseInt(line.strip(), 16);
        if (length == 0) {
          stream.complete = true;
          return stream;
        }
        byte[] chunk = in.readNBytes(length);
        Http.readLine(in);
        text.append(new String(chunk, StandardCharsets.ISO_8859_1));
        takeEvents(text, stream);
      }
    } catch (IOException e) {
      return stream;
    }
  }

  private static void takeEvents(StringBuilder text, Stream stream) {
    int end = text.indexOf("\n\n");
    while (end >= 0) {
      int eventId = 0;
      String data = "";
      for (String line : text.substring(0, end).split("\n")) {
        if (line.startsWith("id: ")) {
          eventId = Integer.parseInt(line.substring(4));
        } else if (line.startsWith("data: ")) {
          data = line.substring(6);
        }
      }
      synchronized (stream.events) {
        stream.events.add(new Event(eventId, data));
      }
      text.delete(0, end + 2);
      end = text.indexOf("\n\n");
    }
  }
}
