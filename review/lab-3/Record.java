import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Appends lines with a common steady time to a file that several processes write. */
final class Record {
  private final Path file;

  Record(Path file) {
    this.file = file;
  }

  /** Milliseconds of the machine's steady clock, which all processes of a test share. */
  static long now() {
    return System.nanoTime() / 1_000_000;
  }

  synchronized void add(String line) {
    addAt(now(), line);
  }

  synchronized void addAt(long millis, String line) {
    try {
      Files.writeString(
          file, millis + " " + line + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
