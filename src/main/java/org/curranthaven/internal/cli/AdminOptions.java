package org.curranthaven.internal.cli;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** The options that operators' commands share. */
final class AdminOptions {
  private static final String DEFAULT_HOST = "127.0.0.1:8400";

  private AdminOptions() {}

  static void add(Subparser parser) {
    parser
        .addArgument("--host")
        .setDefault(DEFAULT_HOST)
        .help("HTTP address of any host of the system");
    parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
  }

  static AdminClient client(Namespace arguments) {
    return new AdminClient(arguments.getString("host"));
  }

  static String operatorName() {
    return System.getProperty("user.name", "operator");
  }
}
