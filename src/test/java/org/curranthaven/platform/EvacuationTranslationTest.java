package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.curranthaven.internal.relay.ControlRequest;
import org.curranthaven.internal.relay.OperatorCall;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against orders for a data centre with another name than the operator's. */
class EvacuationTranslationTest {
  private static ControlRequest read(String method, String uri) {
    return ControlTranslation.read(
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), uri));
  }

  @Test
  void an_order_and_its_withdrawal_are_decoded() {
    assertThat(read("POST", "/api/evacuate/east"))
        .isEqualTo(new ControlRequest.Evacuate("east", null));
    assertThat(read("DELETE", "/api/evacuate/east?x=1"))
        .isEqualTo(new ControlRequest.EndEvacuation("east", null));
  }

  @ParameterizedTest
  @ValueSource(strings = {"east", "a b", "a+b", "100%", "a/b", "düne", "?#"})
  void the_name_of_a_data_centre_is_encoded_as_it_is_decoded(String name) {
    for (Long revision : new Long[] {null, 0L, Long.MAX_VALUE}) {
      OperatorCall order = ControlTranslation.evacuationCall(name, false, revision);
      OperatorCall end = ControlTranslation.evacuationCall(name, true, revision);

      assertThat(read(order.method(), order.path()))
          .isEqualTo(new ControlRequest.Evacuate(name, revision));
      assertThat(read(end.method(), end.path()))
          .isEqualTo(new ControlRequest.EndEvacuation(name, revision));
    }
  }

  /** Guards against a status that ends the operator's call, and against orders taken for new. */
  @ParameterizedTest
  @ValueSource(strings = {"", "x", "-1", "1.5", "9223372036854775808", "1&revision=2", "1&x=%zz"})
  void a_malformed_revision_is_neither_obeyed_nor_rejected_for_good(String revision) {
    assertThat(read("POST", "/api/evacuate/east?revision=" + revision))
        .isInstanceOfSatisfying(
            ControlRequest.Invalid.class, invalid -> assertThat(invalid.status()).isEqualTo(428));
  }

  @Test
  void a_plus_sign_in_the_path_stands_for_itself() {
    assertThat(read("POST", "/api/evacuate/a+b"))
        .isEqualTo(new ControlRequest.Evacuate("a+b", null));
  }

  @Test
  void a_malformed_path_is_invalid() {
    assertThat(read("POST", "/api/evacuate/%zz"))
        .isInstanceOfSatisfying(
            ControlRequest.Invalid.class, invalid -> assertThat(invalid.status()).isEqualTo(400));
    for (String uri : new String[] {"/api/evacuate/", "/api/evacuate/a/b", "/api/evacuate"}) {
      assertThat(read("POST", uri))
          .isInstanceOfSatisfying(
              ControlRequest.Invalid.class, invalid -> assertThat(invalid.status()).isEqualTo(404));
    }
    assertThat(read("GET", "/api/evacuate/east")).isInstanceOf(ControlRequest.Invalid.class);
  }
}
