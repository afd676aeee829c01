package org.curranthaven.internal.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class SettingsReaderTest {
  private static String example() throws IOException {
    try (InputStream in =
        SettingsReaderTest.class.getResourceAsStream("/org/curranthaven/example.jsonc")) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  @Test
  void the_example_settings_are_valid() throws IOException {
    SettingsReader reader = SettingsReader.of(example());

    assertThat(reader.faults()).isEmpty();
    assertThat(reader.settings().name()).isEqualTo("accra-1");
  }

  @Test
  void all_faults_are_reported_together_with_their_lines() throws IOException {
    String text =
        example()
            .replace("\"httpAddress\": \"127.0.0.1:8400\"", "\"httpAddress\": \"localhost\"")
            .replace("\"drainMillis\": 600000", "\"drainSeconds\": 600")
            .replace("\"votersWanted\": 3", "\"votersWanted\": 2");

    SettingsReader reader = SettingsReader.of(text);

    assertThat(reader.faults())
        .extracting(SettingsFault::key)
        .containsExactly("httpAddress", "votersWanted", "drainSeconds");
    assertThat(reader.faults()).allMatch(fault -> fault.line() > 1);
    assertThat(reader.faults().getLast().fix()).contains("drainMillis");
  }

  @Test
  void invalid_json_is_reported_with_its_line() {
    assertThat(SettingsReader.of("{\n \"name\": oops }").faults())
        .singleElement()
        .extracting(SettingsFault::line)
        .isEqualTo(2);
  }

  @Test
  void a_missing_settings_file_is_a_fault() {
    assertThat(SettingsReader.read(Path.of("/nowhere/host.jsonc")).faults()).hasSize(1);
  }

  @Test
  void a_missing_data_folder_is_a_fault() throws IOException {
    String text = example().replace("\"dataFolder\": \".\"", "\"dataFolder\": \"/nowhere/data\"");

    assertThat(SettingsReader.of(text).faults())
        .extracting(SettingsFault::key)
        .containsExactly("dataFolder");
  }
}
