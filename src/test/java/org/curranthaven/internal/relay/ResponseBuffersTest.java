package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against many responses without end that together fill a gateway's memory. */
class ResponseBuffersTest {
  private static final int PIECE_BYTES = 1024 * 1024;

  private final ResponseBuffers buffers = new ResponseBuffers();
  private final List<String> discarded = new ArrayList<>();

  private ResponseBuffers.Holder holder(String name) {
    return bytes -> discarded.add(name);
  }

  @Test
  void beyond_the_limit_the_largest_incomplete_response_is_discarded() {
    ResponseBuffers.Holder small = holder("small");
    ResponseBuffers.Holder large = holder("large");
    buffers.update(small, PIECE_BYTES);
    buffers.update(large, ResponseBuffers.MAX_TOTAL_BYTES - PIECE_BYTES);
    assertThat(discarded).isEmpty();

    buffers.update(small, 2 * PIECE_BYTES);

    assertThat(discarded).containsExactly("large");
    assertThat(buffers.totalBytes()).isEqualTo(2 * PIECE_BYTES);
  }

  @Test
  void many_responses_without_end_stay_within_the_limit() {
    List<ResponseBuffers.Holder> holders = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      holders.add(holder("h" + i));
    }
    for (int pieces = 1; pieces <= 8; pieces++) {
      for (ResponseBuffers.Holder holder : holders) {
        buffers.update(holder, pieces * PIECE_BYTES);
        assertThat(buffers.totalBytes()).isLessThanOrEqualTo(ResponseBuffers.MAX_TOTAL_BYTES);
      }
    }
  }

  @Test
  void a_response_that_has_ended_holds_nothing() {
    ResponseBuffers.Holder holder = holder("h");
    buffers.update(holder, PIECE_BYTES);

    buffers.update(holder, 0);

    assertThat(buffers.totalBytes()).isZero();
    assertThat(discarded).isEmpty();
  }
}
