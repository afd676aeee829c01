import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What was sent, answered and run, with the seconds since the start; thread-safe. */
final class Record {
  private final Path file;
  private final long startNanos = System.nanoTime();
  private final List<String> lines = new ArrayList<>();

  Record(Path file) {
    this.file = file;
  }

  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  synchronized void add(String line) {
    lines.add(String.format(Locale.ROOT, "%7.3f %s", seconds(), line));
  }

  void writeIfPossible() {
    try {
      write();
    } catch (IOException e) {
      System.err.println("the record cannot be written: " + e);
    }
  }

  synchronized void write() throws IOException {
    Files.write(file, lines);
  }
}
