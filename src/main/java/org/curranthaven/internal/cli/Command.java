package org.curranthaven.internal.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** One command of the command line. */
interface Command {
  /** Adds the command's parser; its {@code command} attribute is this object. */
  void register(Subparsers parsers);

  /** Runs the command and returns the exit code. */
  int run(Namespace arguments) throws Exception;
}
