package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Holds the platform's words inside its folder, and the folder small. */
class PlatformWordsTest {
  private static final Path SOURCES = Path.of("src/main/java/org/curranthaven");
  private static final Path PLATFORM_FOLDER = SOURCES.resolve("platform");
  private static final int MAX_LINES = 1_200;

  private static final List<String> PLATFORM_NAMES =
      List.of(
          "Attempt-Id",
          "Deadline-Ms",
          "Prompt-Prefix",
          "Last-Event-Id",
          "Response-Seal",
          "Expect-Instance",
          "Runner-Load",
          "Runner-Id",
          "Not-Executed",
          "Token-Count",
          "Request-Urgency",
          "Weight-Versions",
          "Pin-Ms",
          "Length-Hint",
          "Kv-Backup",
          "Kv-From",
          "Kv-Fetch",
          "X-Api-Key",
          "/api/config",
          "/api/runners",
          "/api/ready",
          "/api/report",
          "kv-move",
          "kv-events",
          "kv-list",
          "hold-take",
          "targetLatencyMs",
          "pathPrefix\"",
          "apiKeys",
          "kvCapacity",
          "coldLeftMs",
          "heartbeatAddr",
          "non_idempotent");

  private static List<Path> sourceFiles(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      return files.filter(file -> file.toString().endsWith(".java")).toList();
    }
  }

  @Test
  void no_word_of_the_platform_stands_outside_its_folder() throws IOException {
    List<String> found = new ArrayList<>();
    for (Path file : sourceFiles(SOURCES)) {
      if (!file.startsWith(PLATFORM_FOLDER)) {
        String text = Files.readString(file);
        PLATFORM_NAMES.stream()
            .filter(text::contains)
            .forEach(word -> found.add(file + ": " + word));
      }
    }
    assertThat(found).isEmpty();
  }

  @Test
  void the_folder_stays_small() throws IOException {
    long lines = 0;
    for (Path file : sourceFiles(PLATFORM_FOLDER)) {
      lines += Files.readAllLines(file).size();
    }
    assertThat(lines).isLessThan(MAX_LINES);
  }
}
