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
 * Replays a recorded trace of events through the routing core. The same trace always gives exactly
 * the same decisions.
 *
 * <p>The decisions do not change the later events of the trace. A replay therefore shows how the
 * policy decides on the recorded events, not what callers would have observed.
 */
public final class TraceReplay {
  private TraceReplay() {}

  /**
   * Result of a replay.
   *
   * @param decisions each decision as a JSON line, in order
   * @param outcomes figures to compare with the expected ones
   */
  public record Result(List<String> decisions, Outcomes outcomes) {}

  /**
   * Figures of a replay.
   *
   * @param arrived number of requests that arrived
   * @param dispatched number of requests sent to a backend server
   * @param shed number of requests rejected because of overload
   * @param sentToUnusable number of requests sent to a backend server after its removal; a fault if
   *     not 0
   * @param sentTwice number of requests sent again before they had ended; a fault if not 0
   * @param lateByClass number of requests of each class sent after their due time
   * @param decisionsSha256 SHA-256 of all decisions, to detect any difference
   */
  public record Outcomes(
      int arrived,
      int dispatched,
      int shed,
      int sentToUnusable,
      int sentTwice,
      Map<String, Integer> lateByClass,
      String decisionsSha256) {}

  /** Replays a trace, given as its lines. */
  public static Result run(List<String> lines) throws JsonProcessingException {
    RoutingRecorder.Header header =
        Json.MAPPER.readValue(lines.getFirst(), RoutingRecorder.Header.class);
    if (!header.trace().equals(RoutingRecorder.Header.KIND)) {
      throw new IllegalArgumentException(
          "unknown trace kind " + header.trace() + "; expected " + RoutingRecorder.Header.KIND);
    }
    RoutingCore core =
        new RoutingCore(
            header.host(),
            new Policy.Forecast(ForecastOptions.standard()),
            new SplittableRandom(header.seed()));
    OutcomeCounter counter = new OutcomeCounter();
    for (String line : lines.subList(1, lines.size())) {
      RoutingRecorder.Line entry = Json.MAPPER.readValue(line, RoutingRecorder.Line.class);
      counter.recordEvent(entry.event());
      core.handle(entry.event(), entry.now()).forEach(decision -> counter.recordDecision(decision));
    }
    return counter.result();
  }

  /** Counts the outcomes of a replay from its events and decisions. */
  private static final class OutcomeCounter {
    private final List<String> decisions = new ArrayList<>();
    private final Map<Long, RequestAttributes> requestsById = new HashMap<>();
    private final Set<Long> openRequests = new HashSet<>();
    private final Set<String> removedBackends = new HashSet<>();
    private final Map<String, Integer> lateByClass = new TreeMap<>();
    private int arrived;
    private int dispatched;
    private int shed;
    private int sentToUnusable;
    private int sentTwice;

    void recordEvent(RoutingEvent event) {
      switch (event) {
        case RoutingEvent.Arrived arrival -> {
          arrived++;
          requestsById.put(arrival.request().id(), arrival.request());
        }
        case RoutingEvent.Finished finished -> openRequests.remove(finished.requestId());
        case RoutingEvent.BackendRemoved removed -> removedBackends.add(removed.server());
        case RoutingEvent.BackendReported reported ->
            removedBackends.remove(reported.report().name());
        default -> {}
      }
    }

    void recordDecision(RoutingDecision decision) {
      decisions.add(Json.text(decision));
      switch (decision) {
        case RoutingDecision.Dispatch dispatch -> recordDispatch(dispatch);
        case RoutingDecision.Shed ignored -> shed++;
      }
    }

    private void recordDispatch(RoutingDecision.Dispatch dispatch) {
      dispatched++;
      if (removedBackends.contains(dispatch.server())) {
        sentToUnusable++;
      }
      if (!openRequests.add(dispatch.requestId())) {
        sentTwice++;
      }
      RequestAttributes request = requestsById.get(dispatch.requestId());
      if (request != null && dispatch.reason().slackMillis() < 0) {
        lateByClass.merge(request.className(), 1, Integer::sum);
      }
    }

    Result result() {
      String hash = Hashes.sha256Hex(String.join("\n", decisions));
      return new Result(
          decisions,
          new Outcomes(arrived, dispatched, shed, sentToUnusable, sentTwice, lateByClass, hash));
    }
  }
}
