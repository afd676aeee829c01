package org.curranthaven.deploy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.jar.Attributes;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import java.util.jar.Manifest;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Starts a Java process with the options of each role in {@code deploy/system.toml}, on an archive
 * of classes that is made as in the build. Guards against options that do not match the archive:
 * the virtual machine then prints lines that are no log entries, and starts without the archive's
 * modules.
 */
class DeployedOptionsTest {
  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final Pattern ARGUMENT = Pattern.compile("<argument>(.*)</argument>");
  private static final String ARCHIVE = "target/curranthaven.jsa";
  private static final String JAR = "target/curranthaven-0.1.0.jar";

  @TempDir private Path folder;

  /** The class that the process runs. */
  static final class EmptyProgram {
    private EmptyProgram() {}

    /** Ends at once. */
    public static void main(String[] arguments) {}
  }

  @Test
  void a_process_with_the_deployed_options_starts_on_the_archive_and_prints_nothing()
      throws IOException, InterruptedException {
    Path jar = jarWithEmptyProgram();
    run(replacePaths(dumpOptions(), jar));

    List<String> runLines =
        RUN.matcher(Files.readString(Path.of("deploy/system.toml")))
            .results()
            .map(match -> match.group(1))
            .toList();
    assertThat(runLines).hasSize(2);
    for (String runLine : runLines) {
      List<String> words = List.of(runLine.split(" "));
      List<String> options = words.subList(1, words.indexOf("-jar"));
      List<String> command = new ArrayList<>(replacePaths(options, jar));
      command.addAll(List.of("-Xshare:on", "-jar", jar.toString()));

      assertThat(run(command)).as(runLine).isEmpty();
    }
  }

  /** Returns the arguments with which the build makes the archive, without its list of classes. */
  private static List<String> dumpOptions() throws IOException {
    String build = Files.readString(Path.of("pom.xml"));
    String execution = build.substring(build.indexOf("<id>class-archive</id>"));
    return ARGUMENT
        .matcher(execution.substring(0, execution.indexOf("</execution>")))
        .results()
        .map(match -> match.group(1))
        .filter(argument -> !argument.startsWith("-XX:SharedClassListFile"))
        .toList();
  }

  private List<String> replacePaths(List<String> options, Path jar) {
    String archive = folder.resolve("classes.jsa").toString();
    return options.stream()
        .map(option -> option.replace(ARCHIVE, archive).replace(JAR, jar.toString()))
        .toList();
  }

  private Path jarWithEmptyProgram() throws IOException {
    Manifest manifest = new Manifest();
    Attributes attributes = manifest.getMainAttributes();
    attributes.put(Attributes.Name.MANIFEST_VERSION, "1.0");
    attributes.put(Attributes.Name.MAIN_CLASS, EmptyProgram.class.getName());
    attributes.put(new Attributes.Name("Enable-Native-Access"), "ALL-UNNAMED");
    String entry = EmptyProgram.class.getName().replace('.', '/') + ".class";
    Path jar = folder.resolve("program.jar");
    try (OutputStream out = Files.newOutputStream(jar);
        JarOutputStream jarOut = new JarOutputStream(out, manifest);
        InputStream in = DeployedOptionsTest.class.getClassLoader().getResourceAsStream(entry)) {
      jarOut.putNextEntry(new JarEntry(entry));
      in.transferTo(jarOut);
      jarOut.closeEntry();
    }
    return jar;
  }

  /** Runs a process to its end and returns what it printed. */
  private static String run(List<String> arguments) throws IOException, InterruptedException {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    Process process =
        new ProcessBuilder(Stream.concat(Stream.of(java), arguments.stream()).toList())
            .redirectErrorStream(true)
            .start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertThat(process.waitFor()).as(output).isZero();
    return output;
  }
}
