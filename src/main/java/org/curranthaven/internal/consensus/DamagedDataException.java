package org.curranthaven.internal.consensus;

import java.io.IOException;
import java.nio.file.Path;

/** A record that had been synced cannot be read. */
public final class DamagedDataException extends IOException {
  private static final long serialVersionUID = 1;

  /** Creates the exception for a record of {@code file} at {@code offsetBytes}. */
  public DamagedDataException(Path file, long offsetBytes) {
    super("file " + file + " is damaged at offset " + offsetBytes + " bytes");
  }
}
