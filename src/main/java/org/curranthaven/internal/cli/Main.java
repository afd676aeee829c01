package org.curranthaven.internal.cli;

import java.io.IOException;
import java.net.ConnectException;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.curranthaven.api.Failure;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.configuration.Edit;

/** Entry point of the executable: parses the arguments and runs the selected command. */
public final class Main {
  /** Version that {@code --version} prints. */
  public static final String VERSION = "0.1.0";

  /** Attribute of the parsed arguments that holds the selected command. */
  static final String COMMAND = "command";

  private static final int EXIT_OK = 0;

  /**
   * Commands that run a host. Their start is part of every outage, so the parser holds no other
   * command for them.
   */
  private static final Set<String> HOST_COMMANDS = Set.of("serve", "serve-routed");

  private Main() {}

  /** Runs a command and exits the process with its exit code. */
  public static void main(String[] arguments) {
    // Seconds: closes idle connections to backend servers early (see ServiceClient), and limits how
    // long a caller may take to send a request.
    System.setProperty("jdk.httpclient.keepalive.timeout", "1");
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.maxReqTime", "30");
    System.exit(run(arguments));
  }

  /** Runs a command and returns its exit code. */
  static int run(String[] arguments) {
    boolean runsHost = arguments.length > 0 && HOST_COMMANDS.contains(arguments[0]);
    ArgumentParser parser = parser(runsHost ? hostCommands() : commands());
    try {
      Namespace parsed = parser.parseArgs(arguments);
      Command command = parsed.get(COMMAND);
      return command.run(parsed);
    } catch (HelpScreenException e) {
      return EXIT_OK;
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      return ResultCode.USAGE.exitCode();
    } catch (ConnectException e) {
      return reportFailure(Failure.of(ResultCode.HOST_UNREACHABLE, "cannot connect to the host"));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ResultCode.INTERNAL.exitCode();
    } catch (IOException e) {
      return reportFailure(Failure.of(ResultCode.HOST_UNREACHABLE, "input or output failed: " + e));
    } catch (Exception e) {
      return reportFailure(
          Failure.of(ResultCode.INTERNAL, "the command failed unexpectedly: " + e));
    }
  }

  /** Prints a failure to standard error and returns its exit code. */
  static int reportFailure(Failure failure) {
    System.err.println("curranthaven: " + failure.fullMessage());
    return failure.code().exitCode();
  }

  private static ArgumentParser parser(List<Command> commands) {
    ArgumentParser parser =
        ArgumentParsers.newFor("curranthaven")
            .build()
            .defaultHelp(true)
            .description(
                "Serves generations of unknown output length on engines with little free capacity.")
            .version("curranthaven " + VERSION);
    parser
        .addArgument("--version")
        .action(net.sourceforge.argparse4j.impl.Arguments.version())
        .help("print the version");
    Subparsers subparsers = parser.addSubparsers().title("commands").metavar("COMMAND");
    commands.forEach(command -> command.register(subparsers));
    return parser;
  }

  private static List<Command> hostCommands() {
    return List.of(new ServeCommand(), new ServeRoutedCommand());
  }

  private static List<Command> commands() {
    return Stream.concat(hostCommands().stream(), otherCommands().stream()).toList();
  }

  private static List<Command> otherCommands() {
    return List.of(
        new RehearseCommand(),
        new SettingsCommand(),
        new ConfigurationItemCommand(Edit.Kind.CLASS),
        new ConfigurationItemCommand(Edit.Kind.WORKSPACE),
        new ConfigurationItemCommand(Edit.Kind.MODEL),
        new ConfigurationItemCommand(Edit.Kind.SERVICE),
        new EvacuateCommand(),
        new ApplyCommand(),
        new AdminGetCommand("get", "print the active configuration", "/admin/v1/configuration", ""),
        new AdminGetCommand(
            "history", "print the revisions of the configuration", "/admin/v1/history", ""),
        new StatusCommand(),
        new AdminGetCommand("hosts", "list the hosts", "/admin/v1/hosts", ""),
        new AdminGetCommand("backends", "list the backend servers", "/admin/v1/backends", ""),
        new AdminGetCommand("dump", "print the complete state of a host", "/admin/v1/dump", ""),
        new AdminGetCommand(
            "explain",
            "print the routing decisions made for a request",
            "/admin/v1/explain/",
            "request"),
        new StandinCommand(),
        new LoadCommand(),
        new DemoCommand(),
        new ReplayCommand(),
        new CheckCommand(),
        new ExperimentCommand(),
        new BenchCommand());
  }
}
