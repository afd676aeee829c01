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
import org.tinylog.Logger;

/** {@code serve}: runs one host. */
final class ServeCommand implements Command {
  @Override
  public void register(Subparsers parsers) {
    Subparser parser =
        parsers
            .addParser("serve")
            .help("run one host of the system")
            .description(
                "Runs one host until SIGTERM. The first signal drains it: it takes no new work and"
                    + " waits for what is open. A second one stops it at once.");
    parser.addArgument("--settings").required(true).help("settings file (JSON with comments)");
    parser.addArgument("--record").help("file to record the routing core's events to");
    parser.setDefault(Main.COMMAND, this);
  }

  @Override
  public int run(Namespace arguments) throws InterruptedException {
    Path file = Path.of(arguments.getString("settings"));
    Outcome<HostSettings> checked = SettingsCommand.check(file);
    if (checked instanceof Outcome.Failed<HostSettings> failed) {
      return Main.reportFailure(failed.failure());
    }
    HostSettings settings = ((Outcome.Success<HostSettings>) checked).value();
    Logging.configure(settings.logJson());
    String record = arguments.getString("record");
    Path trace = record == null ? null : Path.of(record);
    return switch (HostProcess.start(settings, Clock.system(), trace)) {
      case Outcome.Failed<HostProcess> failed -> Main.reportFailure(failed.failure());
      case Outcome.Success<HostProcess> success -> serve(success.value());
    };
  }

  private static int serve(HostProcess host) throws InterruptedException {
    CountDownLatch signal = new CountDownLatch(1);
    ProcessSignals.onTermination(
        count -> {
          if (count == 1) {
            signal.countDown();
          } else {
            System.err.println(
                "curranthaven: stopping at once, cutting off " + host.openRequests() + " requests");
            Runtime.getRuntime().halt(ResultCode.INTERNAL.exitCode());
          }
        });
    Logger.info("{} serves at {}", host.name(), host.settings().httpAddress());
    Thread watcher = Thread.ofVirtual().start(() -> awaitHostExit(host, signal));
    signal.await();
    watcher.interrupt();
    String reason = host.failureReason();
    if (reason != null) {
      return Main.reportFailure(
          org.curranthaven.api.Failure.of(ResultCode.INTERNAL, "the host went down: " + reason));
    }
    Logger.info("{} drains {} open requests", host.name(), host.openRequests());
    int left = host.drain();
    host.stop();
    if (left > 0) {
      System.err.println("curranthaven: " + left + " requests were still open and are cut off");
      return ResultCode.INTERNAL.exitCode();
    }
    return 0;
  }

  private static void awaitHostExit(HostProcess host, CountDownLatch signal) {
    try {
      host.join();
      signal.countDown();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
