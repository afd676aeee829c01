package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class RequestFingerprintTest {
  private static InboundRequest request(
      String id, long deadlineMillis, HttpMethod method, String uri, String body) {
    return new InboundRequest(
        id,
        "site.example",
        method,
        uri,
        uri,
        "",
        deadlineMillis,
        0,
        0,
        0,
        List.of(),
        "",
        "",
        new DefaultHttpHeaders(),
        body.getBytes(StandardCharsets.UTF_8));
  }

  private static long fingerprint(HttpMethod method, String uri, String body) {
    return RequestFingerprint.of(request("id", 1_000, method, uri, body));
  }

  @Test
  void a_request_that_comes_again_under_another_id_and_deadline_is_recognized() {
    assertThat(RequestFingerprint.of(request("a", 900, HttpMethod.POST, "/p?q=1", "body")))
        .isEqualTo(RequestFingerprint.of(request("b", 3_000, HttpMethod.POST, "/p?q=1", "body")));
  }

  @Test
  void requests_with_another_method_path_query_or_body_differ() {
    assertThat(
            List.of(
                fingerprint(HttpMethod.POST, "/p?q=1", "body"),
                fingerprint(HttpMethod.PUT, "/p?q=1", "body"),
                fingerprint(HttpMethod.POST, "/r?q=1", "body"),
                fingerprint(HttpMethod.POST, "/p?q=2", "body"),
                fingerprint(HttpMethod.POST, "/p?q=1", "bodies"),
                fingerprint(HttpMethod.POST, "/p?q=1", "")))
        .doesNotHaveDuplicates();
  }
}
