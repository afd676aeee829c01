package org.curranthaven.internal.supervision;

import java.nio.charset.StandardCharsets;
import org.curranthaven.api.ResultCode;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Ends the process after an error in a thread that it cannot go on without, so that the platform
 * starts it again. A command that runs a host calls {@link #endProcessOnUncaught} once; until then
 * errors are only printed. A library that catches the error of a callback reports it here:
 *
 * <pre>{@code
 * loop.execute(FatalErrors.guard(this::sendStatus));
 * }</pre>
 */
public final class FatalErrors {
  /** Longest time for which the end of the process waits for its last log line. */
  private static final long LOG_TIMEOUT_MILLIS = 500;

  /** Limit on the causes of a failure that are looked at; a chain may form a circle. */
  private static final int MAX_CAUSES = 16;

  private static final int EXIT_STATUS = ResultCode.INTERNAL.exitCode();

  /** Created early, since memory may be too short for a new one. */
  private static final byte[] LINE_WITHOUT_MEMORY =
      "{\"level\":\"ERROR\",\"message\":\"a thread failed without memory for a log line; process ends\"}\n"
          .getBytes(StandardCharsets.US_ASCII);

  private FatalErrors() {}

  /**
   * From now on, ends the process with the status of {@link ResultCode#INTERNAL} when a thread ends
   * with an exception or an error. An exception that ends a virtual thread, which serves one
   * request, is only logged.
   */
  public static void endProcessOnUncaught() {
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, cause) -> {
          if (thread.isVirtual() && !(cause instanceof Error)) {
            Logger.error(cause, "a request ended with an unexpected exception");
          } else {
            endProcess(thread, cause);
          }
        });
  }

  @SuppressWarnings({"CatchingUnchecked", "EmptyCatch"})
  private static void endProcess(Thread failed, Throwable cause) {
    try {
      // On a thread of its own, since whoever reads standard output may have stopped.
      Thread log = Thread.ofPlatform().daemon(true).start(() -> log(failed, cause));
      log.join(LOG_TIMEOUT_MILLIS);
    } catch (InterruptedException | RuntimeException | Error e) {
      writeLineWithoutMemory();
    } finally {
      Runtime.getRuntime().halt(EXIT_STATUS);
    }
  }

  private static void log(Thread failed, Throwable cause) {
    try {
      Logger.error(
          cause,
          "thread {} failed with {}; process ends with status {} to be started again",
          failed.getName(),
          cause,
          EXIT_STATUS);
    } catch (Error e) {
      writeLineWithoutMemory();
    }
  }

  private static void writeLineWithoutMemory() {
    System.out.write(LINE_WITHOUT_MEMORY, 0, LINE_WITHOUT_MEMORY.length);
    System.out.flush();
  }

  /** Reports a failure that a library caught, if it is an error or was caused by one. */
  public static void report(@Nullable Throwable failure) {
    Throwable cause = failure;
    for (int i = 0; i < MAX_CAUSES && cause != null; i++) {
      if (cause instanceof Error) {
        reportUncaught(cause);
        return;
      }
      cause = cause.getCause();
    }
  }

  /** Handles an exception or error as if it had ended the present thread. */
  public static void reportUncaught(Throwable cause) {
    Thread thread = Thread.currentThread();
    thread.getUncaughtExceptionHandler().uncaughtException(thread, cause);
  }

  /** Returns an action that reports its errors to {@link #report} before it passes them on. */
  public static Runnable guard(Runnable action) {
    return () -> {
      try {
        action.run();
      } catch (Error e) {
        report(e);
        throw e;
      }
    };
  }
}
