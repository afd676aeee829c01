package org.curranthaven.internal.emulator;

import java.util.HashMap;
import java.util.Map;

/**
 * Network links of the engines: transfers run one after another on each link, and take twice as
 * long between data centres. Not thread-safe.
 */
final class TransferLinks {
  private static final double OTHER_DATA_CENTRE_FACTOR = 2;

  private final double microsPerToken;
  private final Map<String, Long> freeAtMicros = new HashMap<>();

  TransferLinks(double microsPerToken) {
    this.microsPerToken = microsPerToken;
  }

  /** Queues a transfer and returns the time at which it is complete. */
  long transfer(EmulatedEngine source, EmulatedEngine target, int tokens, long nowMicros) {
    boolean sameDataCentre = source.dataCentre().equals(target.dataCentre());
    double micros = tokens * microsPerToken * (sameDataCentre ? 1 : OTHER_DATA_CENTRE_FACTOR);
    long start = Math.max(nowMicros, Math.max(freeAt(source), freeAt(target)));
    long end = start + (long) micros;
    freeAtMicros.put(source.id(), end);
    freeAtMicros.put(target.id(), end);
    return end;
  }

  private long freeAt(EmulatedEngine engine) {
    return freeAtMicros.getOrDefault(engine.id(), 0L);
  }
}
