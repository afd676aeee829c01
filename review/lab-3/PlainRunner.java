import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A sound runner of a plain service, as the users' pages describe it: it registers, answers its
 * liveness check and runs requests. It records each request line that it runs.
 */
final class PlainRunner implements AutoCloseable {
  private static final long PING_MILLIS = 1_200;
  private static final int IDLE_MILLIS = 30_000;
  private static final int PING_TIMEOUT_MILLIS = 1_000;

  private final String id;
  private final String service;
  private final String address;
  private final List<String> controls;
  private final Record record;
  private final ServerSocket listener = new ServerSocket();
  private final Map<String, String> linesById = new ConcurrentHashMap<>();
  private volatile boolean closed;
  private volatile boolean registered;

  PlainRunner(String id, String service, String address, List<String> controls, Record record)
      throws IOException {
    this.id = id;
    this.service = service;
    this.address = address;
    this.controls = controls;
    this.record = record;
    InetSocketAddress at = Http.address(address);
    listener.setReuseAddress(true);
    listener.bind(at);
    daemon(this::accept);
    daemon(this::ping);
  }

  private static void daemon(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    thread.start();
  }

  boolean awaitRegistered(long forMillis) throws InterruptedException {
    long end = Record.now() + forMillis;
    while (!registered && Record.now() < end) {
      Thread.sleep(50);
    }
    return registered;
  }

  /** Returns the line of the request with the id as it was run; null if it was not. */
  String lineOf(String requestId) {
    return linesById.get(requestId);
  }

  private void ping() {
    for (int seq = 1; !closed; seq++) {
      String body =
          "{\"service\":\"" + service + "\",\"address\":\"" + address
              + "\",\"zone\":\"here-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
              + "\"coldLeftMs\":0,\"seq\":" + seq + "}";
      boolean acknowledged = false;
      for (int turn = 0; turn < controls.size() && !acknowledged && !closed; turn++) {
        String control = controls.get((seq + turn) % controls.size());
        try {
          acknowledged =
              Http.call(control, "PUT", "/api/runners/" + id, body, PING_TIMEOUT_MILLIS).status()
                  == 200;
        } catch (IOException e) {
          // The next control host is called.
        }
      }
      registered |= acknowledged;
      try {
        Thread.sleep(PING_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(IDLE_MILLIS);
        daemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      Http.Message request = Http.read(in);
      while (request != null) {
        if (request.method().equals("GET") && request.path().equals("/health")) {
          Http.write(
              socket,
              "HTTP/1.1 200 OK\r\nRunner-Id: " + id + "\r\nRunner-Load: 0,0,6\r\nKeep-Alive: timeout=30\r\n"
                  + "Content-Length: 0\r\n\r\n");
        } else if (!request.header("expect-instance").isEmpty()
            && !request.header("expect-instance").equals(id)) {
          answer(socket, request, 421, "");
        } else {
          linesById.put(request.header("attempt-id"), request.line());
          record.add(
              "runner " + id + " runs " + request.header("attempt-id") + ": "
                  + visible(request.line()));
          answer(socket, request, 200, "page of " + request.header("attempt-id"));
        }
        request = Http.read(in);
      }
    } catch (IOException | RuntimeException e) {
      // The caller closed the channel.
    }
  }

  private static void answer(Socket socket, Http.Message request, int status, String body)
      throws IOException {
    Http.write(
        socket,
        "HTTP/1.1 " + status + " X\r\nAttempt-Id: " + request.header("attempt-id")
            + "\r\nResponse-Seal: 1.s\r\nRunner-Load: 1,0,6\r\nKeep-Alive: timeout=30\r\nContent-Type: text/plain\r\n"
            + "Content-Length: " + body.length() + "\r\n\r\n" + body);
  }

  /** Returns a text, read as ISO 8859-1, with other bytes than printable ASCII as \xNN. */
  static String visible(String text) {
    StringBuilder shown = new StringBuilder();
    for (byte octet : text.getBytes(StandardCharsets.ISO_8859_1)) {
      if (octet >= ' ' && octet < 127) {
        shown.append((char) octet);
      } else {
        shown.append("\\x%02x".formatted(octet & 0xff));
      }
    }
    return shown.toString();
  }

  @Override
  public void close() {
    closed = true;
    try {
      listener.close();
    } catch (IOException e) {
      // It ends with the process anyway.
    }
  }
}
