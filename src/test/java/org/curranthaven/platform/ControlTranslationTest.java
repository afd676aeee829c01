package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.curranthaven.internal.relay.ControlRequest;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ControlTranslationTest {
  private static final String REGISTRATION =
      """
      {"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","slots":4,"state":"ready",
       "coldLeftMs":0,"seq":3}
      """;

  private static ControlRequest read(HttpMethod method, String body) {
    return ControlTranslation.read(
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            method,
            "/api/runners/i-1",
            Unpooled.copiedBuffer(body, StandardCharsets.UTF_8)));
  }

  private static BackendRecord registered(String body) {
    return ((ControlRequest.Register) read(HttpMethod.PUT, body)).backend();
  }

  /** Guards against a backend server that is used because somebody else named it. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "\"service\":\"s\"",
        "\"address\":\"10.0.0.1:80\"",
        "\"zone\":\"a\"",
        "\"slots\":4",
        "\"state\":\"ready\"",
        "\"version\":\"v1\"",
        "\"coldLeftMs\":0",
        "\"seq\":3"
      })
  void a_registration_that_lacks_a_field_is_rejected(String field) {
    String renamed = field.replaceFirst("\"", "\"other-");

    assertThat(read(HttpMethod.PUT, REGISTRATION.replace(field, renamed)))
        .isInstanceOf(ControlRequest.Invalid.class);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "\"slots\":\"4\"",
        "\"slots\":0",
        "\"slots\":4.5",
        "\"state\":\"resting\"",
        "\"state\":true",
        "\"seq\":\"3\"",
        "\"zone\":7",
        "\"service\":[]",
        "\"address\":\"nowhere\"",
        "\"born\":\"soon\""
      })
  void a_registration_with_a_field_of_another_kind_is_rejected(String field) {
    String name = field.substring(0, field.indexOf(':'));
    String body = REGISTRATION.replaceFirst(name + ":(\"[^\"]*\"|\\d+),?", "");
    String changed = body.strip().replaceFirst("\\{", "{" + field + ",").replace(",}", "}");

    assertThat(read(HttpMethod.PUT, changed)).isInstanceOf(ControlRequest.Invalid.class);
  }

  @Test
  void a_registration_that_is_cut_off_is_rejected() {
    String cutOff = REGISTRATION.substring(0, REGISTRATION.length() / 2);

    assertThat(read(HttpMethod.PUT, cutOff)).isInstanceOf(ControlRequest.Invalid.class);
  }

  @Test
  void each_start_of_a_backend_server_has_an_id_of_its_own() {
    BackendRecord first = registered(REGISTRATION.replace("{", "{\"born\":100,"));
    BackendRecord second = registered(REGISTRATION.replace("{", "{\"born\":200,"));

    assertThat(first.getId()).isNotEqualTo(second.getId());
    assertThat(first.getInstance()).isEqualTo("i-1").isEqualTo(second.getInstance());
    assertThat(second.getIncarnation()).isEqualTo(200);
    assertThat(registered(REGISTRATION).getId()).isEqualTo("i-1");
  }

  @Test
  void a_deregistration_is_about_the_start_that_it_states() {
    assertThat(read(HttpMethod.DELETE, "{\"born\":100}"))
        .isEqualTo(
            new ControlRequest.Deregister(
                registered(REGISTRATION.replace("{", "{\"born\":100,")).getId()));
    assertThat(read(HttpMethod.DELETE, "")).isEqualTo(new ControlRequest.Deregister("i-1"));
    assertThat(read(HttpMethod.DELETE, "{\"born\":\"100\"}"))
        .isInstanceOf(ControlRequest.Invalid.class);
  }
}
