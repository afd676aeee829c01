package org.curranthaven.platform;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * A backend server as a process of its own, which can be killed. Its responses have neither length
 * nor chunks. The path of a request names the number of pieces of its response and the pause before
 * each: {@code /drafts/pieces/pauseMillis/}, or {@code /holds/} for a body.
 */
final class UnframedServerProcess implements AutoCloseable {
  private static final int BACKLOG = 700;
  private static final String ALIVE =
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

  private final Process process;
  private final int port;

  UnframedServerProcess() throws IOException {
    process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx128m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                UnframedServerProcess.class.getName())
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    port =
        Integer.parseInt(
            new BufferedReader(
                    new InputStreamReader(process.getInputStream(), StandardCharsets.US_ASCII))
                .readLine());
  }

  int port() {
    return port;
  }

  /** Kills the process with SIGKILL, so that the kernel closes its connections. */
  void kill() {
    process.destroyForcibly();
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }

  public static void main(String[] arguments) throws IOException {
    ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    System.out.println(listener.getLocalPort());
    System.out.flush();
    Thread.ofPlatform().daemon().start(UnframedServerProcess::endWithParent);
    while (true) {
      Socket connection = listener.accept();
      connection.setTcpNoDelay(true);
      Thread.ofVirtual().start(() -> serve(connection));
    }
  }

  /** Ends the process when the one that started it ends, which closes the standard input. */
  private static void endWithParent() {
    try {
      while (System.in.read() >= 0) {
        // Nothing is sent here.
      }
    } catch (IOException e) {
      // The input is closed.
    }
    Runtime.getRuntime().halt(0);
  }

  private static void serve(Socket connection) {
    try (connection) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
      String requestLine = in.readLine();
      if (requestLine == null) {
        return;
      }
      String requestId = "";
      for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
        if (line.startsWith("Attempt-Id: ")) {
          requestId = line.substring("Attempt-Id: ".length());
        }
      }
      respond(requestLine, requestId, connection.getOutputStream());
    } catch (IOException e) {
      // The gateway closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void respond(String requestLine, String requestId, OutputStream out)
      throws IOException, InterruptedException {
    if (requestLine.startsWith("GET ")) {
      write(out, ALIVE);
      return;
    }
    String[] path = requestLine.split(" ")[1].split("/");
    String type = path[1].equals("holds") ? "text/plain" : "text/event-stream";
    write(
        out,
        "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Type: %s\r\n\r\n"
            .formatted(requestId, type));
    int pieces = Integer.parseInt(path[2]);
    for (int piece = 1; piece <= pieces; piece++) {
      Thread.sleep(Integer.parseInt(path[3]));
      write(out, "id: %d\ndata: %d\n\n".formatted(piece, piece));
    }
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }
}
