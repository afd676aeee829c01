package org.curranthaven.internal.host;

import java.util.HashSet;
import java.util.Set;
import org.curranthaven.internal.membership.BackendAnnouncement;
import org.curranthaven.internal.routing.BackendReport;

/** Converts backend server announcements to reports for the routing core. */
final class BackendReports {
  private BackendReports() {}

  /**
   * Converts an announcement to a report.
   *
   * @param sentAtMillis when the backend server sent the announcement
   * @param readyAtMillis when the backend server became ready
   */
  static BackendReport of(BackendAnnouncement announcement, long sentAtMillis, long readyAtMillis) {
    Set<String> models = new HashSet<>(announcement.models());
    if (!announcement.service().isEmpty()) {
      models.add("service:" + announcement.service());
    }
    return new BackendReport(
        announcement.name(),
        announcement.dataCentre(),
        models,
        announcement.blocksTotal(),
        announcement.blocksTotal() - announcement.blocksFree(),
        announcement.running(),
        announcement.waiting(),
        announcement.maxBatch(),
        sentAtMillis,
        readyAtMillis);
  }
}
