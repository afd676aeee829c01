package org.curranthaven.internal.configuration;

import java.util.List;
import org.curranthaven.api.Configuration;
import org.curranthaven.internal.transport.wire.ConfigurationDelta;

/** Updates a configuration with deltas. */
public final class Deltas {
  private Deltas() {}

  /**
   * Returns the configuration with the deltas applied in order. A delta that does not directly
   * follow the revision reached so far is skipped.
   */
  public static Configuration apply(Configuration base, List<ConfigurationDelta> deltas) {
    Configuration result = base;
    for (ConfigurationDelta delta : deltas) {
      result = RecentChanges.apply(result, delta);
    }
    return result;
  }
}
