package org.curranthaven.internal.cli;

import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.consensus.DataFolder;
import org.tinylog.Logger;

/**
 * Opens the data folder of a host that starts, and waits while it cannot be written, as with a full
 * disk. A host that ended instead would lose its permission to create the consensus groups, which
 * only the first start of a system gives.
 */
final class DataFolderWait {
  /** After this time a full disk is taken for a wrong setting. */
  private static final Duration MAX_WAIT = Duration.ofMinutes(2);

  private static final long RETRY_MILLIS = 500;

  private DataFolderWait() {}

  /** Opens the folder, or returns why it cannot be used; ends early when {@code stop} is down. */
  static Outcome<DataFolder> open(Path path, CountDownLatch stop) throws InterruptedException {
    Outcome<DataFolder> opened = DataFolder.open(path);
    String logged = "";
    for (long waitedMillis = 0;
        isStorageFailure(opened) && waitedMillis < MAX_WAIT.toMillis();
        waitedMillis += RETRY_MILLIS) {
      String reason = ((Outcome.Failed<DataFolder>) opened).failure().fullMessage();
      if (!reason.equals(logged)) {
        logged = reason;
        Logger.error("{}; trying again for {} s", reason, MAX_WAIT.toSeconds());
      }
      if (stop.await(RETRY_MILLIS, TimeUnit.MILLISECONDS)) {
        return opened;
      }
      opened = DataFolder.open(path);
    }
    if (!logged.isEmpty() && opened instanceof Outcome.Success<DataFolder>) {
      Logger.info("data folder {} can be used now", path);
    }
    return opened;
  }

  private static boolean isStorageFailure(Outcome<DataFolder> opened) {
    return opened instanceof Outcome.Failed<DataFolder> failed
        && failed.failure().code() == ResultCode.STORAGE_FAILED;
  }
}
