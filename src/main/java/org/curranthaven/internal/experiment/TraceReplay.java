package org.curranthaven.internal.experiment;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.curranthaven.internal.gateway.Hashes;
import org.curranthaven.internal.observe.RoutingRecorder;
import org.curranthaven.internal.routing.ForecastOptions;
import org.curranthaven.internal.routing.Policy;
import org.curranthaven.internal.routing.RequestAttributes;
import org.curranthaven.internal.routing.RoutingCore;
import org.curranthaven.internal.routing.RoutingDecision;
import org.curranthaven.internal.routing.RoutingEvent;
import org.curranthaven.internal.settings.Json;

/**
 * Runs the routing core on a recorded trace. The same trace gives the same decisions to the byte.
 *
 * <p>The cores' decisions do not change what the trace holds next: it tells how the policy decides
 * on what was seen, not what callers would have seen.
 */
public final class TraceReplay {
  private TraceReplay() {}

  /**
   * What a replay decided.
   *
   * @param decisions each decision as a JSON line, in order
   * @param outcomes the figures to compare with stated ones
   */
  public record Result(List<String> decisions, Outcomes outcomes) {}

  /**
   * Outcomes of a trace.
   *
   * @param arrived requests that arrived
   * @param dispatched requests sent to a server
   * @param shed requests given up
   * @param sentToUnusable requests sent to a server after it had gone; a fault if not 0
   * @param sentTwice requests sent more than once without having ended; a fault if not 0
   * @param lateByClass requests of each class sent after their first-reply target
   * @param decisionsSha256 hash of all decisions, for a replay that is equal to the byte
   */
  public record Outcomes(
      int arrived,
      int dispatched,
      int shed,
      int sentToUnusable,
      int sentTwice,
      Map<String, Integer> lateByClass,
      String decisionsSha256) {}

  /** Replays the lines of a trace. */
  public static Result run(List<String> lines) throws JsonProcessingException {
    RoutingRecorder.Header header =
        Json.MAPPER.readValue(lines.getFirst(), RoutingRecorder.Header.class);
    if (!header.trace().equals(RoutingRecorder.Header.KIND)) {
      throw new IllegalArgumentException("trace kind " + header.trace() + " is not known");
    }
    RoutingCore core =
        new RoutingCore(
            header.host(),
            new Policy.Forecast(ForecastOptions.standard()),
            new SplittableRandom(header.seed()));
    Tally tally = new Tally();
    for (String line : lines.subList(1, lines.size())) {
      RoutingRecorder.Line entry = Json.MAPPER.readValue(line, RoutingRecorder.Line.class);
      tally.event(entry.event());
      core.handle(entry.event(), entry.now()).forEach(decision -> tally.decision(decision));
    }
    return tally.result();
  }

  private static final class Tally {
    private final List<String> decisions = new ArrayList<>();
    private final Map<Long, RequestAttributes> requests = new HashMap<>();
    private final Set<Long> open = new HashSet<>();
    private final Set<String> gone = new HashSet<>();
    private final Map<String, Integer> late = new TreeMap<>();
    private int arrived;
    private int dispatched;
    private int shed;
    private int sentToUnusable;
    private int sentTwice;

    void event(RoutingEvent event) {
      switch (event) {
        case RoutingEvent.Arrived arrival -> {
          arrived++;
          requests.put(arrival.request().id(), arrival.request());
        }
        case RoutingEvent.Finished finished -> open.remove(finished.requestId());
        case RoutingEvent.BackendRemoved server -> gone.add(server.server());
        case RoutingEvent.BackendReported reported -> gone.remove(reported.report().name());
        default -> {}
      }
    }

    void decision(RoutingDecision decision) {
      decisions.add(Json.text(decision));
      switch (decision) {
        case RoutingDecision.Dispatch dispatch -> dispatched(dispatch);
        case RoutingDecision.Shed ignored -> shed++;
      }
    }

    private void dispatched(RoutingDecision.Dispatch dispatch) {
      dispatched++;
      if (gone.contains(dispatch.server())) {
        sentToUnusable++;
      }
      if (!open.add(dispatch.requestId())) {
        sentTwice++;
      }
      RequestAttributes request = requests.get(dispatch.requestId());
      if (request != null && dispatch.reason().slackMillis() < 0) {
        late.merge(request.className(), 1, Integer::sum);
      }
    }

    Result result() {
      String hash = Hashes.sha256Hex(String.join("\n", decisions));
      return new Result(
          decisions,
          new Outcomes(arrived, dispatched, shed, sentToUnusable, sentTwice, late, hash));
    }
  }
}
