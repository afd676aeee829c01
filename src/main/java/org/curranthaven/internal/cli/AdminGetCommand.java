package org.curranthaven.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * A command that prints one JSON document of the admin API: {@code get}, {@code history}, {@code
 * dump} and others.
 */
final class AdminGetCommand implements Command {
  private final String name;
  private final String help;
  private final String path;
  private final String argumentName;

  /**
   * Creates a command.
   *
   * @param name name of the command
   * @param help help text of the command
   * @param path path of the document in the admin API
   * @param argumentName name of the positional argument whose value is appended to the path; empty
   *     for none
   */
  AdminGetCommand(String name, String help, String path, String argumentName) {
    this.name = name;
    this.help = help;
    this.path = path;
    this.argumentName = argumentName;
  }

  @Override
  public void register(Subparsers parsers) {
    Subparser parser = parsers.addParser(name).help(help);
    if (!argumentName.isEmpty()) {
      parser
          .addArgument(argumentName)
          .help("request id from the X-Request-Id header of the response");
    }
    AdminOptions.add(parser);
    parser.setDefault(Main.COMMAND, this);
  }

  @Override
  public int run(Namespace arguments) throws IOException, InterruptedException {
    String suffix = argumentName.isEmpty() ? "" : arguments.getString(argumentName);
    JsonNode document = AdminOptions.client(arguments).get(path + suffix);
    System.out.println(
        arguments.getBoolean("json") ? document.toString() : document.toPrettyString());
    return 0;
  }
}
