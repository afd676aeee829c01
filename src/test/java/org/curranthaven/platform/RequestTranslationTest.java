package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.curranthaven.api.Outcome;
import org.curranthaven.internal.relay.BackendRequest;
import org.curranthaven.internal.relay.ControlRequest;
import org.curranthaven.internal.relay.InboundRequest;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.junit.jupiter.api.Test;

class RequestTranslationTest {
  private static FullHttpRequest request() {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.POST,
            "/a/x?y=1",
            Unpooled.copiedBuffer("body", StandardCharsets.UTF_8));
    request
        .headers()
        .add("Host", "stories.example:80")
        .add("Attempt-Id", "id-1")
        .add("Token-Count", "1460,80")
        .add("Prompt-Prefix", "5c:800,91:410")
        .add("Deadline-Ms", "39000")
        .add("X-Api-Key", "k1");
    return request;
  }

  private static InboundRequest read(FullHttpRequest request) {
    return ((Outcome.Success<InboundRequest>) RequestTranslation.read(request)).value();
  }

  private static FullHttpRequest forwarded(FullHttpRequest request) {
    BackendRecord backend =
        BackendRecord.newBuilder().setId("i-1").setAddress("10.0.0.1:80").build();
    return BackendTranslation.backendRequest(
        new BackendRequest(read(request), backend, "t1", 500, 2, "", "", ""));
  }

  @Test
  void malformed_and_huge_token_counts_are_decoded_without_failure_or_overflow() {
    FullHttpRequest separatorOnly = request();
    separatorOnly.headers().set("Token-Count", ",");
    FullHttpRequest huge = request();
    huge.headers().set("Token-Count", "2147483648,9999999999").set("Length-Hint", "2147483648");

    assertThat(read(separatorOnly).promptTokens()).isZero();
    assertThat(read(huge).promptTokens()).isPositive().isLessThan(Integer.MAX_VALUE / 100);
    assertThat(read(huge).maxOutputTokens()).isPositive().isLessThan(Integer.MAX_VALUE / 100);
    assertThat(read(huge).hintedOutputTokens()).isPositive().isLessThan(Integer.MAX_VALUE / 100);
  }

  @Test
  void a_registration_whose_id_is_not_percent_encoded_is_rejected() {
    FullHttpRequest registration =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.PUT,
            "/api/runners/i-%zz",
            Unpooled.copiedBuffer("{}", StandardCharsets.UTF_8));

    assertThat(ControlTranslation.read(registration)).isInstanceOf(ControlRequest.Invalid.class);
  }

  private static ControlRequest registration(String statement) {
    FullHttpRequest registration =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.PUT,
            "/api/runners/i-1",
            Unpooled.copiedBuffer(
                """
                {"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,"state":"ready",
                 "coldLeftMs":0,"seq":1%s}
                """
                    .formatted(statement),
                StandardCharsets.UTF_8));
    return ControlTranslation.read(registration);
  }

  /** Guards against a backend server with an unknown version, which equals that of another. */
  @Test
  void a_registration_with_a_malformed_software_version_names_no_backend_server() {
    assertThat(registration(",\"version\":\"v1.2\""))
        .isInstanceOfSatisfying(
            ControlRequest.Register.class,
            register -> assertThat(register.backend().getSoftwareVersion()).isEqualTo("v1.2"));
    assertThat(registration("")).isInstanceOf(ControlRequest.Invalid.class);
    assertThat(registration(",\"version\":7")).isInstanceOf(ControlRequest.Invalid.class);
    assertThat(registration(",\"version\":\"\"")).isInstanceOf(ControlRequest.Invalid.class);
    assertThat(registration(",\"version\":\"" + "v".repeat(1_000) + "\""))
        .isInstanceOf(ControlRequest.Invalid.class);
  }

  @Test
  void the_request_that_began_a_stream_is_decoded_unless_several_are_named() {
    FullHttpRequest named = request();
    named.headers().add("Resumes", "id-0");
    FullHttpRequest twiceTheSame = request();
    twiceTheSame.headers().add("Resumes", "id-0").add("Resumes", "id-0");
    FullHttpRequest two = request();
    two.headers().add("Resumes", "id-0").add("Resumes", "id-9");

    assertThat(read(named).resumedRequestId()).isEqualTo("id-0");
    assertThat(read(twiceTheSame).resumedRequestId()).isEqualTo("id-0");
    assertThat(read(two).resumedRequestId()).isEmpty();
    assertThat(read(request()).resumedRequestId()).isEmpty();
  }

  @Test
  void a_request_and_its_headers_are_decoded() {
    InboundRequest inbound = read(request());

    assertThat(inbound.host()).isEqualTo("stories.example");
    assertThat(inbound.path()).isEqualTo("/a/x");
    assertThat(inbound.key()).isEqualTo("k1");
    assertThat(inbound.promptTokens()).isEqualTo(1_460);
    assertThat(inbound.maxOutputTokens()).isEqualTo(80);
    assertThat(inbound.parts()).hasSize(2);
    assertThat(inbound.deadlineMillis()).isEqualTo(39_000);
  }

  @Test
  void reserved_headers_are_not_forwarded_from_a_caller() {
    FullHttpRequest request = request();
    for (String name : Headers.RESERVED) {
      request.headers().set(name, "forged");
    }

    assertThat(forwarded(request).headers())
        .noneMatch(header -> header.getValue().equals("forged"));
  }

  @Test
  void the_key_is_replaced_by_the_workspace_name() {
    FullHttpRequest forwarded = forwarded(request());

    assertThat(forwarded.headers().get("X-Api-Key")).isNull();
    assertThat(forwarded.headers().get("Tenant")).isEqualTo("t1");
    assertThat(forwarded.headers().get("Expect-Instance")).isEqualTo("i-1");
    assertThat(forwarded.headers().get("Deadline-Ms")).isEqualTo("500");
  }

  @Test
  void method_path_query_body_and_custom_headers_are_forwarded_unchanged() {
    FullHttpRequest request = request();
    request.headers().add("Connection", "x-hop, Attempt-Id").add("X-Hop", "1").add("X-Custom", "2");

    FullHttpRequest forwarded = forwarded(request);

    assertThat(forwarded.uri()).isEqualTo("/a/x?y=1");
    assertThat(forwarded.content().toString(StandardCharsets.UTF_8)).isEqualTo("body");
    assertThat(forwarded.headers().get("X-Custom")).isEqualTo("2");
    assertThat(forwarded.headers().get("X-Hop")).isNull();
    assertThat(forwarded.headers().get("Attempt-Id")).isEqualTo("id-1");
  }
}
