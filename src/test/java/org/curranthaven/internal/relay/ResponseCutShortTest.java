package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.platform.PlatformProtocol;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a response that is cut off at any byte and is taken for a complete one. */
@Timeout(120)
class ResponseCutShortTest {
  private static final long MAX_BODY_BYTES = 1024 * 1024;
  private static final String WHOLE_PATH = "/whole";
  private static final int SOCKET_TIMEOUT_MILLIS = 20_000;
  private static final String PROOF = "Attempt-Id: %s\r\nResponse-Seal: s\r\n";
  private static final String HEAD = "HTTP/1.1 200 OK\r\n" + PROOF;
  private static final String LENGTH = HEAD + "Content-Length: 12\r\n\r\n";
  private static final String CHUNKS = HEAD + "Transfer-Encoding: chunked\r\n";
  private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
  private static final String EVENTS = "f\r\nid: 1\ndata: a\n\n\r\n";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private BackendPool pool = newPool();
  private final ServerSocket server;
  private int nextRequestNumber;

  /** What the backend server sends to the next request, before it ends the connection. */
  private volatile String cutResponse = "";

  private volatile boolean resets;

  /** Whether the connection of the last cut response had carried another request. */
  private volatile boolean reused;

  ResponseCutShortTest() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  }

  @BeforeEach
  void start() {
    Thread.ofVirtual().start(this::accept);
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  @Test
  void a_response_with_a_length_that_is_cut_off_is_not_complete() throws Exception {
    cutEverywhere(HttpMethod.GET, LENGTH + "twelve bytes");
    cutEverywhere(HttpMethod.POST, LENGTH + "twelve bytes");
  }

  @Test
  void a_response_that_is_cut_off_after_an_interim_one_is_not_complete() throws Exception {
    cutEverywhere(HttpMethod.GET, INTERIM + LENGTH + "twelve bytes");
  }

  @Test
  void a_response_that_is_cut_off_in_its_last_chunk_or_trailers_is_not_complete() throws Exception {
    cutEverywhere(
        HttpMethod.GET, CHUNKS + "\r\nc\r\ntwelve bytes\r\n0\r\nExpires: 0\r\nAge: 1\r\n\r\n");
  }

  @Test
  void a_stream_that_is_cut_off_is_not_complete() throws Exception {
    cutEverywhere(
        HttpMethod.POST,
        CHUNKS + "Content-Type: text/event-stream\r\n\r\n" + EVENTS + EVENTS + "0\r\n\r\n");
  }

  @Test
  void a_response_to_a_head_request_that_is_cut_off_is_not_complete() throws Exception {
    cutEverywhere(HttpMethod.HEAD, LENGTH);
  }

  @Test
  void a_response_without_length_or_chunks_whose_head_is_cut_off_is_not_complete()
      throws Exception {
    cutEverywhere(HttpMethod.GET, HEAD + "\r\n");
    cutEverywhere(
        HttpMethod.POST, HEAD + "Content-Type: text/event-stream\r\n\r\n", "id: 1\ndata: a\n\n");
  }

  /** Returns a pool that knows nothing of earlier responses. */
  private BackendPool newPool() {
    return new BackendPool(loop, Clock.system(), new PlatformProtocol());
  }

  private void cutEverywhere(HttpMethod method, String response) throws Exception {
    cutEverywhere(method, response, "");
  }

  /**
   * Cuts the response after each byte but the last, by a close and by a reset.
   *
   * @param body what follows in the whole response, and ends with the connection
   */
  private void cutEverywhere(HttpMethod method, String response, String body) throws Exception {
    List<String> wrong = new ArrayList<>();
    int reusedConnections = 0;
    for (boolean reset : List.of(false, true)) {
      for (boolean again : List.of(false, true)) {
        int length = response.formatted("id-" + nextRequestNumber).length();
        for (int cut = 0; cut < length; cut++) {
          pool = newPool();
          if (again) {
            assertThat(send(HttpMethod.GET, WHOLE_PATH))
                .isInstanceOf(AttemptResult.Completed.class);
          }
          resets = reset;
          String whole = response.formatted("id-" + nextRequestNumber);
          cutResponse = whole.substring(0, Math.min(cut, whole.length() - 1));
          AttemptResult result = send(method, "/cut");
          if (!(result instanceof AttemptResult.Interrupted)) {
            wrong.add(cut + (reset ? " reset " : " closed ") + result);
          }
          reusedConnections += reused ? 1 : 0;
        }
      }
    }
    resets = false;
    cutResponse = response.formatted("id-" + nextRequestNumber) + body;
    assertThat(send(method, "/cut")).isInstanceOf(AttemptResult.Completed.class);
    assertThat(wrong).isEmpty();
    assertThat(reusedConnections).isGreaterThan(response.length());
  }

  private AttemptResult send(HttpMethod method, String path) throws Exception {
    String id = "id-" + nextRequestNumber++;
    CompletableFuture<AttemptResult> result = new CompletableFuture<>();
    // A connection goes back to its pool after its response has ended.
    Attempt.Listener listener =
        new ResultListener(newResult -> loop.execute(() -> result.complete(newResult)));
    BackendRecord backend =
        BackendRecord.newBuilder()
            .setId("i-1")
            .setAddress("127.0.0.1:" + server.getLocalPort())
            .build();
    DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path);
    request.headers().set("Attempt-Id", id);
    ResponseMemory memory =
        new ResponseMemory(new ResponseBuffers(), new BodyMemory(MAX_BODY_BYTES));
    Attempt attempt = new Attempt(backend, memory, listener);
    BackendPool currentPool = pool;
    loop.execute(() -> attempt.start(currentPool, request, id, Long.MAX_VALUE, () -> true));
    return result.get(SOCKET_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  // ---- the backend server -----------------------------------------------------------------------

  private void accept() {
    try {
      while (true) {
        Socket connection = server.accept();
        connection.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        Thread.ofVirtual().start(() -> serve(connection));
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
      boolean first = true;
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        String id = readId(in);
        if (!line.contains(WHOLE_PATH)) {
          reused = !first;
          write(connection, cutResponse);
          connection.setSoLinger(resets, 0);
          return;
        }
        write(connection, (LENGTH + "twelve bytes").formatted(id));
        first = false;
      }
    } catch (IOException e) {
      // The connection was closed.
    }
  }

  private static String readId(BufferedReader in) throws IOException {
    String id = "";
    for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
      if (line.toLowerCase(Locale.ROOT).startsWith("attempt-id: ")) {
        id = line.substring("attempt-id: ".length());
      }
    }
    return id;
  }

  private static void write(Socket connection, String text) throws IOException {
    connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    connection.getOutputStream().flush();
  }
}
