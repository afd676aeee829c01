package org.curranthaven.internal.relay;

import org.curranthaven.internal.transport.wire.BackendRecord;

/** A call to the control interface, decoded. */
public sealed interface ControlRequest {
  /** A backend server registers, or renews its registration. */
  record Register(BackendRecord backend) implements ControlRequest {}

  /** A backend server is gone. */
  record Deregister(String id) implements ControlRequest {}

  /** An operator replaces the catalog. */
  @SuppressWarnings("ArrayRecordComponent")
  record ReplaceCatalog(byte[] document) implements ControlRequest {}

  /** An operator reads the catalog in force. */
  record ReadCatalog() implements ControlRequest {}

  /** The call is not understood. */
  record Invalid(int status, String message) implements ControlRequest {}
}
