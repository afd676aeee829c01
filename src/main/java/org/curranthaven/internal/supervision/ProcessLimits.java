package org.curranthaven.internal.supervision;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.tinylog.Logger;

/** Limits that the operating system sets to this process. */
public final class ProcessLimits {
  private static final Path LIMITS = Path.of("/proc/self/limits");
  private static final String OPEN_FILES = "Max open files";

  /** What is assumed where the system states no limit; more are of no use to a host. */
  private static final int DEFAULT_DESCRIPTORS = 4_096;

  private ProcessLimits() {}

  /** Returns the number of descriptors that this process may open. */
  public static int descriptors() {
    try (Stream<String> lines = Files.lines(LIMITS)) {
      return lines
          .filter(line -> line.startsWith(OPEN_FILES))
          .map(line -> line.substring(OPEN_FILES.length()).strip().split("\\s+", 2)[0])
          .filter(limit -> limit.chars().allMatch(Character::isDigit))
          .mapToInt(limit -> (int) Math.min(DEFAULT_DESCRIPTORS, Long.parseLong(limit)))
          .findFirst()
          .orElse(DEFAULT_DESCRIPTORS);
    } catch (IOException e) {
      Logger.info("limit on descriptors unknown ({}), {} assumed", e, DEFAULT_DESCRIPTORS);
      return DEFAULT_DESCRIPTORS;
    }
  }
}
