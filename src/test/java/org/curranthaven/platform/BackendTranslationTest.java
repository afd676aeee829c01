package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.curranthaven.internal.dispatch.BackendStatements;
import org.curranthaven.internal.dispatch.StatedLoad;
import org.curranthaven.internal.dispatch.StatedRateLimit;
import org.curranthaven.internal.relay.TransferResponse;
import org.junit.jupiter.api.Test;

/**
 * Guards against a response to a state transfer that is cut off and counts as a copy, and against
 * limits of backend servers that are not heard, or are none.
 */
class BackendTranslationTest {
  private static TransferResponse read(int status, String body) {
    return BackendTranslation.transferResponse(status, body.getBytes(StandardCharsets.UTF_8));
  }

  private static StatedRateLimit statedRateLimit(String... values) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    response.headers().add("Server-Limit", List.of(values));
    return BackendTranslation.responseHead(response).statements().rateLimit();
  }

  @Test
  void a_stated_limit_is_a_decimal_number_of_requests_a_second() {
    assertThat(statedRateLimit("3.6")).isEqualTo(new StatedRateLimit.RequestsPerSecond(3.6));
    assertThat(statedRateLimit("12")).isEqualTo(new StatedRateLimit.RequestsPerSecond(12));
    assertThat(statedRateLimit("0")).isEqualTo(new StatedRateLimit.RequestsPerSecond(0));
    assertThat(statedRateLimit()).isEqualTo(new StatedRateLimit.None());
  }

  @Test
  void what_is_no_decimal_number_is_no_limit() {
    for (String value :
        new String[] {"", "NaN", "-1", "1,2", "1e9", "Infinity", "99999999999", "0x1p3", "3f"}) {
      assertThat(statedRateLimit(value)).as(value).isEqualTo(new StatedRateLimit.Malformed(value));
    }
    assertThat(statedRateLimit("1", "2")).isEqualTo(new StatedRateLimit.Malformed("1,2"));
  }

  private static BackendStatements statements(String name, String... values) {
    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
    response.headers().add(name, List.of(values));
    return BackendTranslation.responseHead(response).statements();
  }

  @Test
  void a_server_states_that_it_leaves_and_malformed_statements_change_nothing() {
    assertThat(statements("Server-Leaving", "1").leaving()).isTrue();
    for (String value : new String[] {"", "0", "yes", "11", "true"}) {
      assertThat(statements("Server-Leaving", value).leaving()).as(value).isFalse();
      assertThat(statements("Server-Leaving", value).malformed()).as(value).hasSize(1);
    }
  }

  @Test
  void a_rejection_states_for_how_long_a_server_wants_no_requests() {
    assertThat(statements("Retry-After", "3").restMillis()).isEqualTo(3_000);
    assertThat(statements("Retry-After", "0.25").restMillis()).isEqualTo(250);
    assertThat(statements("Retry-After", "0").malformed()).isEmpty();
    for (String value :
        new String[] {
          "NaN", "-1", "1,2", "Wed, 21 Oct 2026 07:28:00 GMT", "9999999", "99999999999", "1e3", "3s"
        }) {
      assertThat(statements("Retry-After", value).restMillis()).as(value).isZero();
      assertThat(statements("Retry-After", value).malformed()).as(value).hasSize(1);
    }
    assertThat(statements("Retry-After", "1", "2").restMillis()).isZero();
  }

  @Test
  void the_fourth_figure_of_a_load_states_how_slow_the_machine_is() {
    assertThat(statements("Runner-Load", "3,0,24,250").load())
        .isEqualTo(new StatedLoad.Slowness(250));
    assertThat(statements("Runner-Load", "3, 0, 24, 100").load())
        .isEqualTo(new StatedLoad.Slowness(100));
    assertThat(statements("Runner-Load", "3,0,24,87.5").load())
        .isEqualTo(new StatedLoad.Slowness(87));
    assertThat(statements("Runner-Load", "3,0,24").load()).isEqualTo(new StatedLoad.None());
    assertThat(statements("Runner-Load", "3,0,24").malformed()).isEmpty();
  }

  @Test
  void what_is_no_load_states_nothing() {
    for (String value :
        new String[] {
          "",
          "3",
          "3,0",
          "3,0,24,",
          "3,0,24,0",
          "3,0,24,-5",
          "3,0,24,NaN",
          "3,0,24,1e3",
          "a,0,24,100",
          "3,0,24,100,7",
          "3,0,24,999999"
        }) {
      assertThat(statements("Runner-Load", value).load())
          .as(value)
          .isEqualTo(new StatedLoad.None());
      assertThat(statements("Runner-Load", value).malformed()).as(value).hasSize(1);
    }
    assertThat(statements("Runner-Load", "3,0,24,100", "3,0,24,250").load())
        .isEqualTo(new StatedLoad.None());
  }

  @Test
  void a_copy_has_a_handle() {
    assertThat(read(200, "{\"handle\":\"h7\",\"made\":3}"))
        .isEqualTo(new TransferResponse(TransferResponse.Outcome.COPIED, "h7"));
  }

  @Test
  void a_confirmation_that_is_cut_off_is_no_response() {
    for (String body : new String[] {"", "{", "{\"handle\":\"h7\",\"ma", "{\"made\":3}"}) {
      assertThat(read(200, body))
          .as(body)
          .isEqualTo(new TransferResponse(TransferResponse.Outcome.NO_RESPONSE, ""));
    }
  }

  @Test
  void a_rejection_may_have_a_handle_and_a_missing_request_has_none() {
    assertThat(read(503, "{\"handle\":\"h7\"}"))
        .isEqualTo(new TransferResponse(TransferResponse.Outcome.REJECTED, "h7"));
    assertThat(read(503, "{\"han"))
        .isEqualTo(new TransferResponse(TransferResponse.Outcome.REJECTED, ""));
    assertThat(read(404, ""))
        .isEqualTo(new TransferResponse(TransferResponse.Outcome.NOT_RUNNING, ""));
  }
}
