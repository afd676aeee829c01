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
    assertThat(read("POST", "/api/evacuate/east")).isEqualTo(new ControlRequest.Evacuate("east"));
    assertThat(read("DELETE", "/api/evacuate/east?x=1"))
        .isEqualTo(new ControlRequest.EndEvacuation("east"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"east", "a b", "a+b", "100%", "a/b", "düne", "?#"})
  void the_name_of_a_data_centre_is_encoded_as_it_is_decoded(String name) {
    OperatorCall order = ControlTranslation.evacuationCall(name, false);
    OperatorCall end = ControlTranslation.evacuationCall(name, true);

    assertThat(read(order.method(), order.path())).isEqualTo(new ControlRequest.Evacuate(name));
    assertThat(read(end.method(), end.path())).isEqualTo(new ControlRequest.EndEvacuation(name));
  }

  @Test
  void a_plus_sign_in_the_path_stands_for_itself() {
    assertThat(read("POST", "/api/evacuate/a+b")).isEqualTo(new ControlRequest.Evacuate("a+b"));
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
