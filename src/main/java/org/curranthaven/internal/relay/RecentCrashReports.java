package org.curranthaven.internal.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.curranthaven.internal.dispatch.CrashEvidence;
import org.curranthaven.internal.dispatch.DispatchCore;
import org.curranthaven.internal.dispatch.RequestId;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.RunningDispatch;

/**
 * Crashes of backend servers that were told to a scheduler lately, with what ran there. Nothing
 * acknowledges such a report: if the scheduler is lost or replaced soon after, it may never have
 * read it, and this gateway has to count the crash itself. Confined to the event loop.
 */
final class RecentCrashReports {
  /** Several times as long as it takes to notice the loss of a scheduler. */
  static final long KEPT_MILLIS = 2_000;

  private record Report(String backend, List<RunningDispatch> runs, long reportedAtMillis) {}

  private final String gateway;
  private final List<Report> reports = new ArrayList<>();

  RecentCrashReports(String gateway) {
    this.gateway = gateway;
  }

  void add(String backend, List<RunningDispatch> runs, long nowMillis) {
    expire(nowMillis);
    reports.add(new Report(backend, runs, nowMillis));
  }

  boolean isEmpty(long nowMillis) {
    expire(nowMillis);
    return reports.isEmpty();
  }

  private void expire(long nowMillis) {
    reports.removeIf(report -> nowMillis - report.reportedAtMillis() > KEPT_MILLIS);
  }

  /**
   * Has a core count the crashes at the time at which each was reported, as if it had placed what
   * ran there. A crash that is known from the scheduler counts once; so do crashes in quick
   * succession, since it is not known that a request was placed between them.
   *
   * @param running ids of the requests that the core knows to run
   */
  void replay(DispatchCore core, Set<Long> running, long nowMillis) {
    expire(nowMillis);
    for (Report report : reports) {
      long crashedAtMillis = report.reportedAtMillis();
      long placedAtMillis = crashedAtMillis - CrashEvidence.SAME_CAUSE_MILLIS;
      List<RunningDispatch> ended =
          report.runs().stream().filter(run -> !running.contains(run.getAsk().getId())).toList();
      ended.forEach(run -> core.restoreRunning(idOf(run), run, placedAtMillis));
      core.backendCrashed(report.backend(), crashedAtMillis);
      ended.forEach(
          run ->
              core.requestEnded(
                  idOf(run),
                  DispatchOutcome.DISPATCH_OUTCOME_CONNECTION_LOST,
                  run.getOutputTokens(),
                  crashedAtMillis));
    }
  }

  private RequestId idOf(RunningDispatch run) {
    return new RequestId(gateway, run.getAsk().getId());
  }
}
