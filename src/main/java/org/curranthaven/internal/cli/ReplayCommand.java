package org.curranthaven.internal.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.curranthaven.api.Failure;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.experiment.TraceReplay;
import org.curranthaven.internal.settings.Json;

/** {@code replay}: runs the routing core on a recorded trace. */
final class ReplayCommand implements Command {
  @Override
  public void register(Subparsers parsers) {
    Subparser parser =
        parsers
            .addParser("replay")
            .help("run the routing core on a recorded trace")
            .description(
                "Runs the routing core on a trace that 'serve --record' wrote, and prints the"
                    + " outcomes. With --expect, compares them with stated ones.");
    parser.addArgument("trace").help("trace file");
    parser.addArgument("--expect").help("file of stated outcomes");
    parser
        .addArgument("--decisions")
        .action(Arguments.storeTrue())
        .help("print every decision, a JSON line each");
    parser.setDefault(Main.COMMAND, this);
  }

  @Override
  public int run(Namespace arguments) throws IOException {
    TraceReplay.Result result;
    try {
      result = TraceReplay.run(Files.readAllLines(Path.of(arguments.getString("trace"))));
    } catch (JsonProcessingException e) {
      return Main.reportFailure(
          Failure.of(ResultCode.MALFORMED_BODY, "the trace: " + e.getOriginalMessage()));
    }
    if (arguments.getBoolean("decisions")) {
      result.decisions().forEach(System.out::println);
    }
    System.out.println(Json.text(result.outcomes()));
    String expect = arguments.getString("expect");
    if (expect == null) {
      return 0;
    }
    TraceReplay.Outcomes stated =
        Json.MAPPER.readValue(Files.readString(Path.of(expect)), TraceReplay.Outcomes.class);
    return stated.equals(result.outcomes())
        ? 0
        : Main.reportFailure(
            Failure.of(ResultCode.REPLAY_DIFFERS, "the outcomes differ from " + Json.text(stated)));
  }
}
