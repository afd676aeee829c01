package org.curranthaven.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import org.curranthaven.api.Outcome;

/** Prints the outcome of a configuration change. */
final class ChangeReporter {
  private ChangeReporter() {}

  /** Prints the outcome and returns the exit code. */
  static int report(Outcome<JsonNode> outcome, boolean json) {
    return switch (outcome) {
      case Outcome.Failed<JsonNode> failed -> Main.reportFailure(failed.failure());
      case Outcome.Success<JsonNode> success -> {
        JsonNode result = success.value();
        if (json) {
          System.out.println(result);
        } else {
          System.out.println(
              "revision " + result.path("revision").asLong() + " is active on every host");
          result
              .path("warnings")
              .forEach(warning -> System.out.println("warning: " + warning.asText()));
        }
        yield 0;
      }
    };
  }
}
