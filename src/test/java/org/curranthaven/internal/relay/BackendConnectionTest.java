package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.curranthaven.platform.PlatformProtocol;
import org.junit.jupiter.api.Test;

/** Guards against a response whose end is misread: every framing with every way to end. */
class BackendConnectionTest {
  private static final String LENGTH = "Content-Length: 4\r\n";
  private static final String CHUNKS = "Transfer-Encoding: chunked\r\n";
  private static final String NEITHER = "";

  private final ManualTime time = new ManualTime();
  private final BackendPool pool = new BackendPool(time.loop(), time, new PlatformProtocol());
  private final List<ResponseEnding> endings = new ArrayList<>();
  private final List<Integer> statuses = new ArrayList<>();
  private final StringBuilder content = new StringBuilder();
  private final BackendConnection connection = new BackendConnection(pool, "127.0.0.1:1");
  private final EmbeddedChannel backend = new EmbeddedChannel(connection.handlers());

  private final class RecordingListener implements BackendConnection.ResponseListener {
    @Override
    public void onHead(ResponseHead head, HttpResponse response) {
      statuses.add(head.status());
    }

    @Override
    public void onContent(byte[] bytes) {
      content.append(new String(bytes, StandardCharsets.UTF_8));
    }

    @Override
    public void onEnded(ResponseEnding ending) {
      endings.add(ending);
    }
  }

  private void sendRequest() {
    sendRequest(HttpMethod.GET);
  }

  private void sendRequest(HttpMethod method) {
    connection.send(
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/"),
        "r",
        new RecordingListener());
  }

  /** Sends a request and receives the head of its response and the given bytes of the body. */
  private void receive(int status, String framing, String bodyBytes) {
    sendRequest();
    receiveHead(status, framing, bodyBytes);
  }

  private void receiveHead(int status, String framing, String bodyBytes) {
    String head = "HTTP/1.1 " + status + " X\r\nAttempt-Id: r\r\n" + framing + "\r\n";
    backend.writeInbound(Unpooled.copiedBuffer(head + bodyBytes, StandardCharsets.UTF_8));
  }

  /** Ends the input as the backend server's orderly close does. */
  private void close() {
    backend.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    backend.runPendingTasks();
  }

  private void reset() {
    backend.pipeline().fireExceptionCaught(new IOException("Connection reset"));
    backend.runPendingTasks();
  }

  private void assertBrokenOff() {
    assertThat(endings).hasSize(1);
    assertThat(endings.getFirst()).isInstanceOf(ResponseEnding.BrokenOff.class);
  }

  @Test
  void a_response_ends_with_its_length() {
    receive(200, LENGTH, "four");

    assertThat(endings).containsExactly(new ResponseEnding.LengthReached());
    close();
    assertThat(endings).hasSize(1);
  }

  @Test
  void a_response_ends_with_its_last_chunk() {
    receive(200, CHUNKS, "4\r\nfour\r\n0\r\n\r\n");

    assertThat(endings).containsExactly(new ResponseEnding.LastChunk());
  }

  @Test
  void a_response_without_a_body_ends_with_its_headers() {
    receive(204, NEITHER, "");

    assertThat(endings).containsExactly(new ResponseEnding.LengthReached());
  }

  @Test
  void the_response_to_a_head_request_ends_with_its_headers() {
    for (String framing : List.of(LENGTH, CHUNKS, NEITHER)) {
      BackendConnectionTest fresh = new BackendConnectionTest();
      fresh.sendRequest(HttpMethod.HEAD);
      fresh.receiveHead(200, framing, "");
      assertThat(fresh.endings).as(framing).containsExactly(new ResponseEnding.LengthReached());
    }
  }

  @Test
  void a_response_without_length_or_chunks_ends_with_its_connection() {
    receive(200, NEITHER, "four");
    assertThat(endings).isEmpty();

    close();

    assertThat(endings).containsExactly(new ResponseEnding.ConnectionClosed());
    assertThat(content.toString()).isEqualTo("four");
  }

  @Test
  void a_response_is_broken_off_when_its_connection_is_closed_before_its_announced_end() {
    receive(200, LENGTH, "fou");
    close();
    assertBrokenOff();
  }

  @Test
  void a_response_is_broken_off_when_its_connection_is_closed_before_its_last_chunk() {
    receive(200, CHUNKS, "4\r\nfour\r\n");
    close();
    assertBrokenOff();
  }

  @Test
  void a_response_is_broken_off_when_its_connection_is_closed_inside_its_headers() {
    receive(200, "Content-Len", "");
    close();
    assertBrokenOff();
  }

  @Test
  void a_response_is_broken_off_when_its_connection_is_reset_however_it_is_framed() {
    for (String framing : List.of(LENGTH, CHUNKS, NEITHER)) {
      BackendConnectionTest fresh = new BackendConnectionTest();
      fresh.receive(200, framing, framing.equals(CHUNKS) ? "4\r\nfour\r\n" : "fou");
      fresh.reset();
      fresh.assertBrokenOff();
    }
  }

  @Test
  void a_response_with_a_malformed_chunk_is_broken_off() {
    receive(200, CHUNKS, "4\r\nfour\r\nnot-a-size\r\n");
    assertBrokenOff();
  }

  @Test
  void a_connection_without_a_response_is_broken_off_when_it_closes() {
    sendRequest();

    close();

    assertBrokenOff();
  }

  private void receiveText(String text) {
    backend.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }

  /** Completes a request whose connection then is in use again for the next one. */
  private void completeFirstRequest() {
    receive(200, LENGTH, "four");
    endings.clear();
    content.setLength(0);
  }

  private void sendNextRequest() {
    connection.send(
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/next"),
        "next",
        new RecordingListener());
  }

  @Test
  void a_second_copy_of_a_response_is_not_the_response_to_the_next_request() {
    completeFirstRequest();
    sendNextRequest();

    receiveText("HTTP/1.1 200 X\r\nAttempt-Id: r\r\n" + LENGTH + "\r\nfour");
    assertThat(endings).isEmpty();
    receiveText("HTTP/1.1 200 X\r\nAttempt-Id: next\r\n" + LENGTH + "\r\nnext");

    assertThat(endings).containsExactly(new ResponseEnding.LengthReached());
    assertThat(content.toString()).isEqualTo("next");
    assertThat(connection.isOpen()).isFalse();
  }

  @Test
  void a_late_response_without_a_request_id_is_not_the_response_to_the_next_request() {
    for (int status : new int[] {200, 404, 500, 503}) {
      BackendConnectionTest fresh = new BackendConnectionTest();
      fresh.completeFirstRequest();
      fresh.sendNextRequest();

      fresh.receiveText("HTTP/1.1 " + status + " X\r\nNot-Executed: 1\r\n" + LENGTH + "\r\nfour");

      fresh.assertBrokenOff();
      assertThat(fresh.content.toString()).as("status %d", status).isEmpty();
      assertThat(fresh.connection.isOpen()).isFalse();
    }
  }

  @Test
  void the_response_to_the_first_request_of_a_connection_needs_no_request_id() {
    sendRequest();

    receiveText("HTTP/1.1 503 X\r\nNot-Executed: 1\r\n" + LENGTH + "\r\nfour");

    assertThat(endings).containsExactly(new ResponseEnding.LengthReached());
  }

  @Test
  void bytes_after_a_complete_response_close_its_connection() {
    completeFirstRequest();

    receiveText("HTTP/1.1 200 X\r\nAttempt-Id: r\r\n" + LENGTH + "\r\nfour");

    assertThat(connection.isOpen()).isFalse();
    assertThat(endings).isEmpty();
  }

  @Test
  void a_part_of_a_late_copy_is_no_part_of_the_response_to_the_next_request() {
    String copy = "HTTP/1.1 200 X\r\nAttempt-Id: r\r\n" + LENGTH + "\r\nfour";
    List<String> open = new ArrayList<>();
    for (int cut = 1; cut < copy.length(); cut++) {
      BackendConnectionTest later = new BackendConnectionTest();
      later.completeFirstRequest();
      later.receiveText(copy.substring(0, cut));
      if (later.connection.isOpen()) {
        open.add(cut + " bytes later");
      }

      BackendConnectionTest together = new BackendConnectionTest();
      together.receive(200, LENGTH, "four" + copy.substring(0, cut));
      assertThat(together.endings).containsExactly(new ResponseEnding.LengthReached());
      if (together.connection.isOpen()) {
        open.add(cut + " bytes in the same read");
      }
    }
    assertThat(open).isEmpty();
  }

  /** Sends a request over a new connection of the pool and receives its response. */
  private BackendConnection completeOnNewConnection(String text) {
    BackendConnection newConnection = new BackendConnection(pool, "127.0.0.1:1");
    EmbeddedChannel channel = new EmbeddedChannel(newConnection.handlers());
    newConnection.send(
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
        "r",
        new RecordingListener());
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    return newConnection;
  }

  @Test
  void no_connection_is_used_again_for_a_time_after_a_late_copy_came_over_one() {
    String whole = "HTTP/1.1 200 X\r\nAttempt-Id: r\r\n" + LENGTH + "\r\nfour";
    BackendConnection before = completeOnNewConnection(whole);
    assertThat(before.isOpen()).isTrue();

    assertThat(completeOnNewConnection(whole + "HTTP/1.1 2").isOpen()).isFalse();

    assertThat(completeOnNewConnection(whole).isOpen()).isFalse();
    List<BackendConnection> acquired = new ArrayList<>();
    time.advance(ReusePauses.FIRST_PAUSE_MILLIS);
    BackendConnection after = completeOnNewConnection(whole);
    pool.acquire("127.0.0.1:1", "next", Long.MAX_VALUE, acquired::add);
    assertThat(acquired).containsExactly(after);
  }

  @Test
  void a_response_without_length_or_chunks_is_broken_off_when_this_side_closes() {
    receive(200, NEITHER, "four");

    backend.close();
    backend.runPendingTasks();

    assertBrokenOff();
  }

  @Test
  void a_connection_without_a_request_closes_with_its_input() {
    completeFirstRequest();

    close();

    assertThat(connection.isOpen()).isFalse();
  }

  @Test
  void a_cancelled_response_reports_no_ending() {
    receive(200, NEITHER, "four");

    connection.cancel();
    backend.runPendingTasks();

    assertThat(endings).isEmpty();
  }

  private static final String LATE_REFUSAL =
      "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nAttempt-Id: r\r\nContent-Length: 4\r\n\r\nlate";

  @Test
  void a_late_copy_of_a_response_is_no_part_of_a_later_response_without_length_or_chunks() {
    for (String body : List.of("", "next", "next\n")) {
      for (int split = 1; split < LATE_REFUSAL.length(); split++) {
        BackendConnectionTest fresh = new BackendConnectionTest();
        fresh.completeFirstRequest();
        fresh.sendNextRequest();
        fresh.receiveText("HTTP/1.1 200 X\r\nAttempt-Id: next\r\n\r\n" + body);

        fresh.receiveText(LATE_REFUSAL.substring(0, split));
        if (fresh.connection.isOpen()) {
          fresh.receiveText(LATE_REFUSAL.substring(split));
          fresh.close();
        }

        fresh.assertBrokenOff();
      }
    }
  }

  @Test
  void a_late_copy_does_not_complete_the_length_of_a_response_that_was_cut_short() {
    String head = "HTTP/1.1 200 X\r\nAttempt-Id: next\r\nContent-Length: 60\r\n\r\n";
    completeFirstRequest();
    sendNextRequest();

    receiveText(head + "cut");
    receiveText(LATE_REFUSAL);

    assertBrokenOff();
  }

  @Test
  void a_body_that_quotes_a_response_is_complete() {
    String body = "a server writes HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nand so on";
    receive(200, NEITHER, body);
    close();

    assertThat(endings).containsExactly(new ResponseEnding.ConnectionClosed());
    assertThat(content.toString()).isEqualTo(body);
  }

  @Test
  void a_late_copy_of_a_control_response_is_not_the_response_to_the_next_control_request() {
    String copied = "HTTP/1.1 200 X\r\nContent-Length: 15\r\n\r\n{\"handle\":\"h1\"}";
    sendControlRequest("r");
    receiveText(copied);
    assertThat(endings).containsExactly(new ResponseEnding.LengthReached());
    endings.clear();

    sendControlRequest("next");
    if (connection.isOpen()) {
      receiveText(copied);
    }

    assertBrokenOff();
  }

  private void sendControlRequest(String requestId) {
    connection.sendControl(
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/copy"),
        requestId,
        new RecordingListener());
  }

  @Test
  void a_response_whose_framing_can_be_read_in_two_ways_is_broken_off() {
    for (String framing :
        List.of(
            LENGTH + CHUNKS,
            "Content-Length: 4\r\nContent-Length: 5\r\n",
            "Content-Length: +4\r\n",
            "Transfer-Encoding: chunked, identity\r\n",
            "Transfer-Encoding: gzip\r\n",
            "Transfer-Encoding: gzip\r\n" + CHUNKS)) {
      BackendConnectionTest fresh = new BackendConnectionTest();
      fresh.receive(200, framing, "4\r\nfour\r\n0\r\n\r\n");
      fresh.close();

      assertThat(fresh.endings).as(framing).hasSize(1);
      assertThat(fresh.endings.getFirst()).as(framing).isInstanceOf(ResponseEnding.BrokenOff.class);
    }
  }

  @Test
  void a_late_copy_that_is_cut_short_does_not_lend_its_status_to_the_next_response() {
    String type = "Content-Type: text/plain; charset=utf-8\r\n";
    String copy =
        "HTTP/1.1 200 OK\r\n"
            + type
            + "Attempt-Id: r\r\nContent-Length: 90\r\n\r\n"
            + "x".repeat(90);
    String failure = "HTTP/1.1 500 X\r\nAttempt-Id: next\r\nContent-Length: 4\r\n\r\nnext";
    String lateSuccess = failure.replace("500", "200");
    List<Integer> cutsWithForeignStatus = new ArrayList<>();
    for (int cut = 1; cut < copy.length(); cut++) {
      BackendConnectionTest fresh = new BackendConnectionTest();
      fresh.completeFirstRequest();
      fresh.statuses.clear();
      fresh.sendNextRequest();

      fresh.receiveText(copy.substring(0, cut));
      for (String text : List.of(failure, lateSuccess)) {
        if (fresh.connection.isOpen()) {
          fresh.receiveText(text);
        }
      }

      if (fresh.statuses.contains(200)) {
        cutsWithForeignStatus.add(cut);
      }
    }
    assertThat(cutsWithForeignStatus).isEmpty();
  }

  private static final List<String> NO_STATUSES =
      List.of(
          "000",
          "000 X",
          "000 OK",
          "099",
          "00",
          "-200",
          "600",
          "999",
          "2000",
          "+200",
          "0200",
          "0x200",
          "20",
          "101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade");

  /** Guards against an answer that is none: it must neither be handed on nor waited behind. */
  @Test
  void a_response_whose_status_is_none_is_broken_off_at_once() {
    for (String status : NO_STATUSES) {
      for (String framing : List.of(LENGTH, CHUNKS, NEITHER)) {
        BackendConnectionTest fresh = new BackendConnectionTest();
        fresh.sendRequest();
        fresh.receiveText("HTTP/1.1 " + status + "\r\nAttempt-Id: r\r\n" + framing + "\r\nfour");

        assertThat(fresh.statuses).as(status).isEmpty();
        assertThat(fresh.content.toString()).as(status).isEmpty();
        fresh.assertBrokenOff();
        assertThat(fresh.connection.isOpen()).as(status).isFalse();
      }
    }
  }

  @Test
  void statuses_from_100_to_599_are_read() {
    for (int status : List.of(200, 299, 304, 404, 499, 500, 599)) {
      for (String interim : List.of("", "100", "102 Processing", "103", "199")) {
        BackendConnectionTest fresh = new BackendConnectionTest();
        fresh.sendRequest();
        if (!interim.isEmpty()) {
          fresh.receiveText("HTTP/1.1 " + interim + "\r\nLink: x\r\n\r\n");
        }
        fresh.receiveHead(status, LENGTH, status == 304 ? "" : "four");

        assertThat(fresh.statuses).as(interim).containsExactly(status);
        assertThat(fresh.endings).containsExactly(new ResponseEnding.LengthReached());
      }
    }
  }

  /** Guards against a copy of an answer that is none, inside another response. */
  @Test
  void a_copy_of_a_response_whose_status_is_none_is_no_part_of_a_body() {
    for (String status : NO_STATUSES) {
      String copy = "HTTP/1.1 " + status + "\r\nAttempt-Id: z\r\nContent-Length: 0\r\n\r\n";
      BackendConnectionTest fresh = new BackendConnectionTest();
      fresh.receive(200, "Content-Length: 4000\r\n", "four" + copy);

      assertThat(fresh.content.toString()).as(status).doesNotContain("HTTP");
      fresh.assertBrokenOff();
    }
  }

  /** Guards against a head that was cut off and takes in the one of an answer that is none. */
  @Test
  void a_head_that_holds_the_status_line_of_an_answer_that_is_none_is_broken_off() {
    for (String status : NO_STATUSES) {
      for (String cutLine : List.of("X-Load: 1", "X-Load: ")) {
        BackendConnectionTest fresh = new BackendConnectionTest();
        fresh.sendRequest();
        fresh.receiveText(
            "HTTP/1.1 200 OK\r\nAttempt-Id: r\r\n"
                + cutLine
                + "HTTP/1.1 "
                + status
                + "\r\n"
                + LENGTH
                + "\r\nfour");

        assertThat(fresh.statuses).as(status).isEmpty();
        fresh.assertBrokenOff();
      }
    }
  }

  /** Guards against a request that is sent behind what stands in the place of trailers. */
  @Test
  void a_connection_whose_trailers_hold_a_status_line_is_not_used_again() {
    for (String status : List.of("000 X", "200 OK", "999", "-200")) {
      BackendConnectionTest fresh = new BackendConnectionTest();
      fresh.receive(
          200,
          CHUNKS,
          "4\r\nfour\r\n0\r\nHTTP/1.1 " + status + "\r\nAttempt-Id: z\r\n" + LENGTH + "\r\n");

      assertThat(fresh.content.toString()).as(status).isEqualTo("four");
      assertThat(fresh.endings).as(status).hasSize(1);
      assertThat(fresh.connection.isOpen()).as(status).isFalse();
    }
  }
}
