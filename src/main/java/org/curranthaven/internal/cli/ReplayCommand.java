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

/** {@code replay}: feeds a recorded trace of events to the routing core. */
final class ReplayCommand implements Command {
  @Override
  public void register(Subparsers parsers) {
    Subparser parser =
        parsers
            .addParser("replay")
            .help("feed a recorded trace to the routing core")
            .description(
                "Feeds a trace that 'serve --record' wrote to the routing core and prints the"
                    + " outcomes. With --expect, also compares them with the expected ones.");
    parser.addArgument("trace").help("trace file");
    parser.addArgument("--expect").help("file with the expected outcomes");
    parser
        .addArgument("--decisions")
        .action(Arguments.storeTrue())
        .help("print every decision as a line of JSON");
    parser.setDefault(Main.COMMAND, this);
  }

  @Override
  public int run(Namespace arguments) throws IOException {
    TraceReplay.Result result;
    try {
      result = TraceReplay.run(Files.readAllLines(Path.of(arguments.getString("trace"))));
    } catch (JsonProcessingException e) {
      return Main.reportFailure(
          Failure.of(
              ResultCode.MALFORMED_BODY,
              "trace file "
                  + arguments.getString("trace")
                  + " is not valid: "
                  + e.getOriginalMessage()));
    }
    if (arguments.getBoolean("decisions")) {
      result.decisions().forEach(System.out::println);
    }
    System.out.println(Json.text(result.outcomes()));
    String expectedFile = arguments.getString("expect");
    if (expectedFile == null) {
      return 0;
    }
    TraceReplay.Outcomes expected =
        Json.MAPPER.readValue(Files.readString(Path.of(expectedFile)), TraceReplay.Outcomes.class);
    return expected.equals(result.outcomes())
        ? 0
        : Main.reportFailure(
            Failure.of(
                ResultCode.REPLAY_DIFFERS,
                "the outcomes differ from the expected " + Json.text(expected)));
  }
}
