package org.curranthaven.internal.consensus;

import java.io.IOException;
import java.nio.file.Path;

/** Thrown when a record that was synced to disk cannot be read back. */
public final class DamagedDataException extends IOException {
  private static final long serialVersionUID = 1;

  /** Creates the exception for a record of {@code file} at {@code offsetBytes}. */
  public DamagedDataException(Path file, long offsetBytes) {
    super(
        "file "
            + file
            + " is damaged at offset "
            + offsetBytes
            + " bytes; if the other control hosts are running, stop this host and empty its data"
            + " folder: it then rejoins its groups under a new identity");
  }
}
