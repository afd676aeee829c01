package org.curranthaven.internal.host;

import java.util.HashSet;
import java.util.Set;
import org.curranthaven.internal.membership.BackendAnnouncement;
import org.curranthaven.internal.routing.BackendReport;

/** Turns announcements into reports for the routing core. */
final class BackendReports {
  private BackendReports() {}

  /**
   * Returns the report.
   *
   * @param readyAtMillis since when the server has been ready
   */
  static BackendReport of(BackendAnnouncement server, long sentAtMillis, long readyAtMillis) {
    Set<String> models = new HashSet<>(server.models());
    if (!server.service().isEmpty()) {
      models.add("service:" + server.service());
    }
    return new BackendReport(
        server.name(),
        server.dataCentre(),
        models,
        server.blocksTotal(),
        server.blocksTotal() - server.blocksFree(),
        server.running(),
        server.waiting(),
        server.maxBatch(),
        sentAtMillis,
        readyAtMillis);
  }
}
