package org.curranthaven.internal.clients;

/** Tells that a request is refused since others use the memory; it was not run. */
public final class MemoryInUseException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  MemoryInUseException(String message) {
    super(message);
  }
}
