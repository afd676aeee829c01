package org.curranthaven.internal.scheduler;

import java.util.Collection;
import java.util.function.Consumer;
import org.curranthaven.internal.catalog.CrashSuspectState;
import org.curranthaven.internal.catalog.ServiceVersion;
import org.curranthaven.internal.configuration.FleetCommand;

/** Log that commits everything at once; a test overrides what it looks at. */
class CommittingSchedulerLog implements SchedulerLog {
  @Override
  public void add(ServiceVersion version, Consumer<Boolean> callback) {
    callback.accept(true);
  }

  @Override
  public void remove(Collection<ServiceVersion> versions) {}

  @Override
  public void recordOrigins(FleetCommand.RecordStreamOrigins origins, Consumer<Boolean> callback) {
    callback.accept(true);
  }

  @Override
  public void recordCrashSuspects(CrashSuspectState.Snapshot suspects, Consumer<Boolean> callback) {
    callback.accept(true);
  }
}
