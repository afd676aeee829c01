package org.curranthaven.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * A command that prints one page of a host: {@code get}, {@code history}, {@code dump} and more.
 */
final class AdminGetCommand implements Command {
  private final String name;
  private final String help;
  private final String path;
  private final String argumentName;

  /**
   * Creates the command.
   *
   * @param argument name of an argument that is appended to the path, empty for none
   */
  AdminGetCommand(String name, String help, String path, String argument) {
    this.name = name;
    this.help = help;
    this.path = path;
    this.argumentName = argument;
  }

  @Override
  public void register(Subparsers parsers) {
    Subparser parser = parsers.addParser(name).help(help);
    if (!argumentName.isEmpty()) {
      parser.addArgument(argumentName).help("as the answer's X-Request-Id header gave it");
    }
    AdminOptions.add(parser);
    parser.setDefault(Main.COMMAND, this);
  }

  @Override
  public int run(Namespace arguments) throws IOException, InterruptedException {
    String suffix = argumentName.isEmpty() ? "" : arguments.getString(argumentName);
    JsonNode page = AdminOptions.client(arguments).get(path + suffix);
    System.out.println(arguments.getBoolean("json") ? page.toString() : page.toPrettyString());
    return 0;
  }
}
