package org.curranthaven.internal.relay;

import org.curranthaven.internal.transport.wire.BackendRecord;
import org.jspecify.annotations.Nullable;

/** A decoded request to the control interface. */
public sealed interface ControlRequest {
  /** A backend server registers, or renews its registration. */
  record Register(BackendRecord backend) implements ControlRequest {}

  /**
   * A backend server deregisters or is deregistered.
   *
   * @param name id of the backend server, or the name that it keeps when it restarts
   */
  record Deregister(String name) implements ControlRequest {}

  /** An operator replaces the catalog. */
  @SuppressWarnings("ArrayRecordComponent")
  record ReplaceCatalog(byte[] document) implements ControlRequest {}

  /** An operator reads the active catalog. */
  record ReadCatalog() implements ControlRequest {}

  /**
   * An operator orders the evacuation of a data centre.
   *
   * @param revision revision of the evacuated data centres that the order was made for; null if the
   *     order names none
   */
  record Evacuate(String dataCentre, @Nullable Long revision) implements ControlRequest {}

  /**
   * An operator withdraws the order to evacuate a data centre.
   *
   * @param revision as for {@link Evacuate}
   */
  record EndEvacuation(String dataCentre, @Nullable Long revision) implements ControlRequest {}

  /** The request is invalid; the status and message form the response. */
  record Invalid(int status, String message) implements ControlRequest {}
}
