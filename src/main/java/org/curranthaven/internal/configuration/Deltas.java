package org.curranthaven.internal.configuration;

import java.util.List;
import org.curranthaven.api.Configuration;
import org.curranthaven.internal.transport.wire.ConfigurationDelta;

/** Brings a configuration up to date by deltas. */
public final class Deltas {
  private Deltas() {}

  /** Returns the configuration with every delta that follows it applied, in order. */
  public static Configuration apply(Configuration base, List<ConfigurationDelta> deltas) {
    Configuration result = base;
    for (ConfigurationDelta delta : deltas) {
      result = RecentChanges.apply(result, delta);
    }
    return result;
  }
}
