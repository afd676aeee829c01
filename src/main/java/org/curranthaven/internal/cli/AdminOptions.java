package org.curranthaven.internal.cli;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Options shared by the commands that use the admin API. */
final class AdminOptions {
  private static final String DEFAULT_HOST = "127.0.0.1:8400";

  private AdminOptions() {}

  /** Adds {@code --host} and {@code --json}. */
  static void add(Subparser parser) {
    parser
        .addArgument("--host")
        .setDefault(DEFAULT_HOST)
        .help("HTTP address of any host of the system");
    parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
  }

  /** Returns a client of the host that {@code --host} names. */
  static AdminClient client(Namespace arguments) {
    return new AdminClient(arguments.getString("host"));
  }

  /** Returns the name under which the history records changes: the user of this process. */
  static String operatorName() {
    return System.getProperty("user.name", "operator");
  }
}
