package org.curranthaven.internal.relay;

import org.curranthaven.internal.transport.wire.BackendRecord;

/** A call to the control interface, decoded. */
public sealed interface ControlCall {
  /** A backend server registers, or renews its registration. */
  record Register(BackendRecord backend) implements ControlCall {}

  /** A backend server is gone. */
  record Withdraw(String id) implements ControlCall {}

  /** An operator replaces the catalog. */
  @SuppressWarnings("ArrayRecordComponent")
  record ReplaceCatalog(byte[] document) implements ControlCall {}

  /** An operator reads the catalog in force. */
  record ReadCatalog() implements ControlCall {}

  /** The call is not understood. */
  record Invalid(int status, String message) implements ControlCall {}
}
