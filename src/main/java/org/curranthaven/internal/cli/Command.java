package org.curranthaven.internal.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** A command of the executable. */
interface Command {
  /** Adds the command's parser, whose {@code command} attribute is set to this object. */
  void register(Subparsers parsers);

  /** Runs the command and returns the exit code. */
  int run(Namespace arguments) throws Exception;
}
