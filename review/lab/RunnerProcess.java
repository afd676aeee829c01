import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * A sound runner of streams as a process of its own, which can be killed. Its streams have neither a
 * length nor chunks and end with their channel. The path names the number of events and their gap.
 */
final class RunnerProcess {
  public static void main(String[] arguments) throws Exception {
    String id = arguments[0];
    ServerSocket listener = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
    System.out.println(listener.getLocalPort());
    System.out.flush();
    // Ends with the process that started it, whose end closes this input.
    Thread parent =
        new Thread(
            () -> {
              try {
                while (System.in.read() >= 0) {
                  // Nothing is sent here.
                }
              } catch (IOException e) {
                // It has ended.
              }
              Runtime.getRuntime().halt(0);
            });
    parent.setDaemon(true);
    parent.start();
    while (true) {
      Socket channel = listener.accept();
      channel.setTcpNoDelay(true);
      Thread thread = new Thread(null, () -> serve(id, channel), "channel", 256 * 1024);
      thread.setDaemon(true);
      thread.start();
    }
  }

  private static void serve(String id, Socket channel) {
    try (channel) {
      BufferedInputStream in = new BufferedInputStream(channel.getInputStream());
      Lab.Http request = Lab.Http.read(in, true, null);
      if (request == null) {
        return;
      }
      String head = "Attempt-Id: " + request.header("Attempt-Id") + "\r\n";
      if (!request.header("Expect-Instance").equals(id)) {
        Lab.write(
            channel.getOutputStream(),
            "HTTP/1.1 421 Misdirected\r\n" + head + "Content-Length: 0\r\nConnection: close\r\n\r\n");
        return;
      }
      if (request.firstLine.startsWith("POST /api/")) {
        Lab.write(
            channel.getOutputStream(),
            "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        return;
      }
      String[] path = request.firstLine.split(" ")[1].split("/");
      int events = Integer.parseInt(path[2]);
      int gapMillis = Integer.parseInt(path[3]);
      Lab.write(
          channel.getOutputStream(),
          "HTTP/1.1 200 OK\r\n" + head + "Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
              + "Connection: close\r\n\r\n");
      for (int event = 1; event <= events; event++) {
        Thread.sleep(gapMillis);
        Lab.write(
            channel.getOutputStream(),
            "id: " + event + "\ndata: " + event + " of " + events + "\n\n");
      }
    } catch (IOException e) {
      // The other side closed the channel.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
