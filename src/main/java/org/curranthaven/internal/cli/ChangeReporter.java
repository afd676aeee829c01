package org.curranthaven.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import org.curranthaven.api.Outcome;

/** Tells an operator what became of a change. */
final class ChangeReporter {
  private ChangeReporter() {}

  static int report(Outcome<JsonNode> outcome, boolean json) {
    return switch (outcome) {
      case Outcome.Failed<JsonNode> failed -> Main.reportFailure(failed.failure());
      case Outcome.Success<JsonNode> success -> {
        JsonNode result = success.value();
        if (json) {
          System.out.println(result);
        } else {
          System.out.println(
              "revision " + result.path("revision").asLong() + " is in force everywhere");
          result.path("warnings").forEach(w -> System.out.println("warning: " + w.asText()));
        }
        yield 0;
      }
    };
  }
}
