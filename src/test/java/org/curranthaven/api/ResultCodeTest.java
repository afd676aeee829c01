package org.curranthaven.api;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;
import org.junit.jupiter.api.Test;

class ResultCodeTest {
  @Test
  void each_number_is_used_once() {
    assertThat(Arrays.stream(ResultCode.values()).map(ResultCode::number)).doesNotHaveDuplicates();
  }

  @Test
  void table_in_the_docs_equals_the_list_in_the_code() throws IOException {
    String rows =
        Files.readString(Path.of("docs/RESULT_CODES.md"))
            .lines()
            .filter(line -> line.matches("\\| \\d+ .*"))
            .reduce("", (all, line) -> all + line + "\n");
    StringBuilder expected = new StringBuilder();
    for (ResultCode code : ResultCode.values()) {
      expected.append(
          "| %d | %s | %d | %d | %s | %s |\n"
              .formatted(
                  code.number(),
                  code.name(),
                  code.httpStatus(),
                  code.exitCode(),
                  code.ran().name().toLowerCase(Locale.ROOT),
                  code.nextStep()));
    }
    assertThat(rows).isEqualTo(expected.toString());
  }

  @Test
  void full_message_says_what_happened_and_what_to_do_next() {
    Failure failure = Failure.of(ResultCode.UNKNOWN_MODEL, "model 'storyy' is not configured");

    assertThat(failure.fullMessage())
        .isEqualTo(
            "model 'storyy' is not configured [1003] List the configured models with GET /v1/models.");
  }
}
