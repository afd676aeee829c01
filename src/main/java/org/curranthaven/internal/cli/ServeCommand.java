package org.curranthaven.internal.cli;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.host.HostProcess;
import org.curranthaven.internal.settings.HostSettings;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.supervision.FatalErrors;
import org.tinylog.Logger;

/** {@code serve}: runs one host of the system until a termination signal. */
final class ServeCommand implements Command {
  @Override
  public void register(Subparsers parsers) {
    Subparser parser =
        parsers
            .addParser("serve")
            .help("run one host of the system")
            .description(
                "Runs one host until SIGTERM. The first signal drains it: the host accepts no new"
                    + " requests and waits for open ones to finish. A second signal stops it"
                    + " immediately.");
    parser.addArgument("--settings").required(true).help("settings file (JSON with comments)");
    parser
        .addArgument("--record")
        .help("file to which the events of the routing core are recorded");
    parser.setDefault(Main.COMMAND, this);
  }

  @Override
  public int run(Namespace arguments) throws InterruptedException {
    Path file = Path.of(arguments.getString("settings"));
    Outcome<HostSettings> checkResult = SettingsCommand.check(file);
    if (checkResult instanceof Outcome.Failed<HostSettings> failed) {
      return Main.reportFailure(failed.failure());
    }
    HostSettings settings = ((Outcome.Success<HostSettings>) checkResult).value();
    Logging.configure(settings.logJson());
    FatalErrors.endProcessOnUncaught();
    String record = arguments.getString("record");
    Path traceFile = record == null ? null : Path.of(record);
    return switch (HostProcess.start(settings, Clock.system(), traceFile)) {
      case Outcome.Failed<HostProcess> failed -> Main.reportFailure(failed.failure());
      case Outcome.Success<HostProcess> success -> serve(success.value());
    };
  }

  private static int serve(HostProcess host) throws InterruptedException {
    CountDownLatch stop = new CountDownLatch(1);
    ProcessSignals.onTermination(
        count -> {
          if (count == 1) {
            stop.countDown();
          } else {
            System.err.println(
                "curranthaven: second stop signal, stopping without drain; open requests cut off: "
                    + host.openRequests());
            Runtime.getRuntime().halt(ResultCode.INTERNAL.exitCode());
          }
        });
    Logger.info("host {} serves HTTP at {}", host.name(), host.settings().httpAddress());
    Thread exitWatcher = Thread.ofVirtual().start(() -> awaitHostExit(host, stop));
    stop.await();
    exitWatcher.interrupt();
    String reason = host.failureReason();
    if (reason != null) {
      return Main.reportFailure(
          org.curranthaven.api.Failure.of(
              ResultCode.INTERNAL, "host " + host.name() + " stopped unexpectedly: " + reason));
    }
    Logger.info(
        "host {} drains {} open requests for at most {} ms",
        host.name(),
        host.openRequests(),
        host.settings().drainMillis());
    int openRequests = host.drain();
    host.stop();
    if (openRequests > 0) {
      System.err.println(
          "curranthaven: "
              + openRequests
              + " requests were still open after the drain and were cut off");
      return ResultCode.INTERNAL.exitCode();
    }
    return 0;
  }

  /** Counts the latch down when the host stops by itself. */
  private static void awaitHostExit(HostProcess host, CountDownLatch stop) {
    try {
      host.join();
      stop.countDown();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
