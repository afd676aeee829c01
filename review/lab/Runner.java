import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound runner: registers, answers 421 if another one is expected, and lets a script answer the
 * rest. It says of itself what the users' pages name.
 */
final class Runner implements AutoCloseable {
  interface Script {
    void answer(Lab.Http request, Socket channel) throws Exception;
  }

  final String id;
  final String service;
  final String version;
  final int slots;
  final long born = System.currentTimeMillis();
  final AtomicInteger begun = new AtomicInteger();
  private final Lab lab;
  private final Script script;
  private final ServerSocket socket;
  private final List<Socket> channels = new CopyOnWriteArrayList<>();
  private volatile boolean closed;
  private long seq;

  Runner(Lab lab, String id, String service, String version, int slots, Script script)
      throws IOException {
    this.lab = lab;
    this.id = id;
    this.service = service;
    this.version = version;
    this.slots = slots;
    this.script = script;
    this.socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    lab.closeAtEnd(this);
    thread(this::accept);
  }

  static Thread thread(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  /** Returns what the runner says of itself. */
  synchronized String ping(String state) {
    seq++;
    return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"here\","
        + "\"version\":\"" + version + "\",\"slots\":" + slots + ",\"state\":\"" + state + "\","
        + "\"coldLeftMs\":0,\"stage\":\"colocated\",\"models\":[{\"name\":\"m\",\"version\":1,"
        + "\"adapters\":[]}],\"seq\":" + seq + ",\"born\":" + born + "}";
  }

  /** Registers the runner, and goes on to ping. */
  void register() throws Exception {
    lab.control("PUT", "/api/runners/" + id, ping("ready"), 20_000);
    lab.record("runner %s of service %s, version %s, at %s", id, service, version, address());
    thread(
        () -> {
          int host = 0;
          while (!closed) {
            try {
              Thread.sleep(Lab.HEARTBEAT_MILLIS);
            } catch (InterruptedException e) {
              return;
            }
            String body = ping("ready");
            for (int i = 0; i < 3 && !closed; i++) {
              if (lab.controlOnce(1 + host % 3, "PUT", "/api/runners/" + id, body) == 200) {
                break;
              }
              host++;
            }
          }
        });
  }

  private void accept() {
    while (!socket.isClosed()) {
      try {
        Socket channel = socket.accept();
        channel.setTcpNoDelay(true);
        channels.add(channel);
        thread(() -> serve(channel));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket channel) {
    try (channel) {
      BufferedInputStream in = new BufferedInputStream(channel.getInputStream(), 65_536);
      for (Lab.Http request = Lab.Http.read(in, true, null);
          request != null && request.complete;
          request = Lab.Http.read(in, true, null)) {
        if (request.firstLine.startsWith("GET /health")) {
          Lab.write(
              channel.getOutputStream(),
              "HTTP/1.1 200 OK\r\nRunner-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
        } else if (!request.header("Expect-Instance").isEmpty()
            && !request.header("Expect-Instance").equals(id)) {
          Lab.write(
              channel.getOutputStream(),
              "HTTP/1.1 421 Misdirected\r\nAttempt-Id: " + request.header("Attempt-Id")
                  + "\r\nContent-Length: 0\r\n\r\n");
        } else {
          begun.incrementAndGet();
          script.answer(request, channel);
        }
        if (channel.isClosed()) {
          return;
        }
      }
    } catch (Exception e) {
      // The channel was closed by the other side.
    } finally {
      channels.remove(channel);
    }
  }

  /** Writes a complete answer. */
  static void answer(Lab.Http request, Socket channel, byte[] body) throws IOException {
    String head =
        "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.header("Attempt-Id")
            + "\r\nResponse-Seal: " + seal(body) + "\r\nKeep-Alive: timeout=5\r\nContent-Length: "
            + body.length + "\r\n\r\n";
    channel.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
    channel.getOutputStream().write(body);
    channel.getOutputStream().flush();
  }

  static String seal(byte[] body) {
    return body.length + "." + Integer.toHexString(Arrays.hashCode(body));
  }

  /** Ends as a crash does: all channels close, and new ones are refused. */
  void crash() throws IOException {
    closed = true;
    socket.close();
    for (Socket channel : channels) {
      channel.close();
    }
  }

  @Override
  public void close() throws IOException {
    crash();
  }
}
