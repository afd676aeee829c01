package org.curranthaven.internal.scheduler;

import java.util.function.Consumer;

/** Replicates the data centres from which backend servers have registered. */
interface DataCentreLog {
  /**
   * Adds a data centre. The callback runs on the event loop, with whether it is committed; it is
   * not if this host no longer leads.
   */
  void add(String dataCentre, Consumer<Boolean> callback);
}
