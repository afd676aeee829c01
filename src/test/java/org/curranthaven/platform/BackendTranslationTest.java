package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.curranthaven.internal.relay.TransferResponse;
import org.junit.jupiter.api.Test;

/** Guards against a response to a state transfer that is cut off and counts as a copy. */
class BackendTranslationTest {
  private static TransferResponse read(int status, String body) {
    return BackendTranslation.transferResponse(status, body.getBytes(StandardCharsets.UTF_8));
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
