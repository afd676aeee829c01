package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against callers that get an answer whose status is none, or wait for their deadline. */
@Timeout(120)
class OddStatusTest extends RoutedFleetFixture {
  private static final int BAD_GATEWAY = 502;

  private static final List<String> STATUSES =
      List.of("000", "000 X", "099", "00", "-200", "600 X", "999", "2000", "+200 OK", "0x200");

  /** Few enough for the retry budget, and for no more than one server to be ejected. */
  private static final List<String> RETRIED_STATUSES = List.of("000", "600 X", "2000", "+200 OK");

  private volatile String status = "";

  /** Answers with the present status the first time that a request comes, or always. */
  private FakeBackend server(boolean always, AtomicInteger requests) throws Exception {
    return new FakeBackend(
        (request, connection) -> {
          boolean odd = requests.getAndIncrement() == 0 || always;
          String response = FakeBackend.response(request, 200, "body");
          FakeBackend.write(connection, odd ? response.replaceFirst("200 X", status) : response);
        });
  }

  @Test
  void a_request_that_may_not_repeat_fails_at_once() throws Exception {
    try (FakeBackend backend = server(true, new AtomicInteger())) {
      register("r1", backend, "ready", 1);
      for (String next : STATUSES) {
        status = next;
        assertThat(status(sendRawRequest("/holds/1", ""))).as(next).isEqualTo(BAD_GATEWAY);
      }
    }
  }

  @Test
  void a_request_that_may_repeat_is_answered_by_the_next_attempt() throws Exception {
    AtomicInteger requests = new AtomicInteger();
    try (FakeBackend first = server(false, requests);
        FakeBackend second = server(false, requests);
        FakeBackend third = server(false, requests)) {
      register("r1", first, "ready", 1);
      register("r2", second, "ready", 1);
      register("r3", third, "ready", 1);
      for (String next : RETRIED_STATUSES) {
        status = next;
        requests.set(0);
        String response = sendRawRequest("/pages/1", "");

        assertThat(status(response)).as(next).isEqualTo(200);
        assertThat(response).as(next).endsWith("body");
      }
    }
  }
}
