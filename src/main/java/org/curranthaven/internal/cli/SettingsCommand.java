package org.curranthaven.internal.cli;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.curranthaven.api.Failure;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.settings.HostSettings;
import org.curranthaven.internal.settings.SettingsReader;

/** {@code settings check} and {@code settings example}: checks a file, or prints an example. */
final class SettingsCommand implements Command {
  private static final String EXAMPLE_RESOURCE = "/org/curranthaven/example.jsonc";

  @Override
  public void register(Subparsers parsers) {
    Subparser parser =
        parsers.addParser("settings").help("check a settings file, or print an example");
    Subparsers actions = parser.addSubparsers().metavar("ACTION");
    Subparser check = actions.addParser("check").help("check a settings file");
    check.addArgument("file").help("settings file");
    check.setDefault(Main.COMMAND, this).setDefault("action", "check");
    actions
        .addParser("example")
        .help("print an example file with comments")
        .setDefault(Main.COMMAND, this)
        .setDefault("action", "example");
  }

  @Override
  public int run(Namespace arguments) throws IOException {
    if (arguments.getString("action").equals("example")) {
      System.out.print(example());
      return 0;
    }
    return switch (check(Path.of(arguments.getString("file")))) {
      case Outcome.Failed<HostSettings> failed -> Main.reportFailure(failed.failure());
      case Outcome.Success<HostSettings> success -> {
        System.out.println("the settings of host " + success.value().name() + " are valid");
        yield 0;
      }
    };
  }

  static String example() throws IOException {
    try (InputStream in = SettingsCommand.class.getResourceAsStream(EXAMPLE_RESOURCE)) {
      if (in == null) {
        throw new IOException(
            "resource " + EXAMPLE_RESOURCE + " is missing from the executable; build it again");
      }
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  static Outcome<HostSettings> check(Path file) {
    SettingsReader reader = SettingsReader.read(file);
    if (reader.faults().isEmpty()) {
      return Outcome.success(reader.settings());
    }
    String faults =
        reader.faults().stream()
            .map(fault -> "  " + fault.format(file.toString()))
            .collect(Collectors.joining("\n"));
    return Outcome.failed(
        Failure.of(
            ResultCode.SETTINGS_INVALID,
            reader.faults().size() + " faults in settings file " + file + ":\n" + faults + "\n"));
  }
}
