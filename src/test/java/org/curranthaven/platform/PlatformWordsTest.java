package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks that the platform's names for headers, paths and JSON members occur only in the package
 * that translates them, and that this package stays small.
 */
class PlatformWordsTest {
  private static final Path SOURCES = Path.of("src/main/java/org/curranthaven");
  private static final Path GENERATED_SOURCES = Path.of("src/main/generated/org/curranthaven");
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
          "coldPerS",
          "allowedRegions",
          "coldStartS",
          "heartbeatAddr",
          "non_idempotent");

  private static List<Path> sourceFiles(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      return files.filter(file -> file.toString().endsWith(".java")).toList();
    }
  }

  @Test
  void no_name_of_the_platform_occurs_outside_its_package() throws IOException {
    List<String> violations = new ArrayList<>();
    List<Path> files = new ArrayList<>(sourceFiles(SOURCES));
    files.addAll(sourceFiles(GENERATED_SOURCES));
    for (Path file : files) {
      if (!file.startsWith(PLATFORM_FOLDER)) {
        String text = Files.readString(file);
        PLATFORM_NAMES.stream()
            .filter(text::contains)
            .forEach(name -> violations.add(file + ": " + name));
      }
    }
    assertThat(violations).isEmpty();
  }

  @Test
  void the_package_stays_small() throws IOException {
    long lineCount = 0;
    for (Path file : sourceFiles(PLATFORM_FOLDER)) {
      lineCount += Files.readAllLines(file).size();
    }
    assertThat(lineCount).isLessThan(MAX_LINES);
  }
}
