package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a control request that gets the response to another one. */
@Timeout(120)
class ControlConnectionTest extends RoutedFleetFixture {
  private static final Pattern STATUS = Pattern.compile("HTTP/1\\.1 (\\d{3})");

  @Test
  void requests_sent_one_behind_the_other_get_their_responses_in_order() throws Exception {
    try (Socket socket = new BoundedSocket(controlAddress)) {
      // Reading the catalog goes through the log; the unknown path is answered at once.
      FakeBackend.write(
          socket,
          """
          GET /api/config HTTP/1.1\r
          Host: c\r
          \r
          GET /nowhere HTTP/1.1\r
          Host: c\r
          Connection: close\r
          \r
          """);
      String responses = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);

      List<String> statuses =
          STATUS.matcher(responses).results().map((MatchResult match) -> match.group(1)).toList();
      assertThat(statuses).hasSize(2);
      assertThat(statuses.getFirst()).isEqualTo("200");
      assertThat(statuses.getLast()).startsWith("4");
    }
  }
}
