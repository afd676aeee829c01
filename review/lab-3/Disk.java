import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** The disk of a machine: the data folder of its process. */
final class Disk {
  private Disk() {}

  /** Removes all that a folder holds. */
  static void empty(Path folder) throws IOException {
    List<Path> all;
    try (Stream<Path> files = Files.walk(folder)) {
      all = files.sorted(Comparator.reverseOrder()).toList();
    }
    for (Path file : all) {
      if (!file.equals(folder)) {
        Files.delete(file);
      }
    }
  }
}
