package org.curranthaven.internal.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.curranthaven.internal.settings.Json;
import org.junit.jupiter.api.Test;

/**
 * Runs a control host and a gateway in a separate process. Guards against lines on standard output
 * that a reader of JSON log lines cannot parse.
 */
class LogFormatTest {
  @Test
  void every_line_on_standard_output_is_a_json_log_entry() throws IOException {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    Process process =
        new ProcessBuilder(
                java,
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "rehearse",
                "--protocol",
                "platform")
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    List<String> lines =
        new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
            .lines()
            .toList();

    assertThat(lines).isNotEmpty();
    for (String line : lines) {
      JsonNode entry = Json.LENIENT.readTree(line);
      assertThat(entry.path("time").asText()).as(line).isNotEmpty();
      assertThat(entry.path("level").asText()).as(line).isNotEmpty();
      assertThat(entry.path("message").asText()).as(line).isNotEmpty();
    }
  }
}
