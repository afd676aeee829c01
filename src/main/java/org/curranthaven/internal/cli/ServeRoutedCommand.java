package org.curranthaven.internal.cli;

import java.nio.file.Path;
import java.util.ServiceLoader;
import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.curranthaven.api.Failure;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.consensus.DataFolder;
import org.curranthaven.internal.relay.Gateway;
import org.curranthaven.internal.relay.WireProtocol;
import org.curranthaven.internal.scheduler.ControlHost;
import org.curranthaven.internal.settings.RoutedSettings;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.supervision.FatalErrors;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * {@code serve-routed}: runs one gateway or control host that routes requests in a platform's wire
 * protocol.
 */
final class ServeRoutedCommand implements Command {
  @Override
  public void register(Subparsers parsers) {
    Subparser parser =
        parsers
            .addParser("serve-routed")
            .help("run one host that routes requests in the wire protocol of a platform")
            .description(
                "Runs one host until SIGTERM, which drains it. SIGHUP is ignored: settings are"
                    + " read only at start.");
    parser.addArgument("--settings").required(true).help("settings file (JSON with comments)");
    parser.addArgument("--protocol").required(true).help("name of the wire protocol");
    parser.setDefault(Main.COMMAND, this);
  }

  @Override
  public int run(Namespace arguments) throws InterruptedException {
    Logging.configure(true);
    FatalErrors.endProcessOnUncaught();
    String protocolName = arguments.getString("protocol");
    WireProtocol protocol = findProtocol(protocolName);
    if (protocol == null) {
      return Main.reportFailure(
          Failure.of(ResultCode.USAGE, "unknown wire protocol '" + protocolName + "'"));
    }
    return switch (RoutedSettings.read(Path.of(arguments.getString("settings")))) {
      case Outcome.Failed<RoutedSettings> failed -> Main.reportFailure(failed.failure());
      case Outcome.Success<RoutedSettings> success -> serve(success.value(), protocol);
    };
  }

  /** Returns the wire protocol with a name, or null if no provider has that name. */
  static @Nullable WireProtocol findProtocol(String name) {
    return ServiceLoader.load(WireProtocol.class).stream()
        .map(ServiceLoader.Provider::get)
        .filter(protocol -> protocol.name().equals(name))
        .findFirst()
        .orElse(null);
  }

  private static int serve(RoutedSettings settings, WireProtocol protocol)
      throws InterruptedException {
    CountDownLatch stop = new CountDownLatch(1);
    ProcessSignals.onTermination(count -> stop.countDown());
    ProcessSignals.onReload(
        () ->
            Logger.info(
                "host {}: SIGHUP ignored, settings are read only at start", settings.name()));
    return settings.isControl()
        ? serveControl(settings, protocol, stop)
        : serveGateway(settings, protocol, stop);
  }

  private static int serveGateway(
      RoutedSettings settings, WireProtocol protocol, CountDownLatch stop)
      throws InterruptedException {
    Gateway gateway = new Gateway(settings, protocol, Clock.system());
    gateway.start();
    stop.await();
    int openRequests = gateway.drain();
    if (openRequests > 0) {
      Logger.warn(
          "gateway {}: the drain ended {} requests that had no complete response",
          settings.name(),
          openRequests);
    }
    return 0;
  }

  private static int serveControl(
      RoutedSettings settings, WireProtocol protocol, CountDownLatch stop)
      throws InterruptedException {
    Path folder = Path.of(String.valueOf(settings.dataFolder()));
    switch (DataFolderWait.open(folder, stop)) {
      case Outcome.Failed<DataFolder> failed -> {
        return Main.reportFailure(failed.failure());
      }
      case Outcome.Success<DataFolder> success -> {
        ControlHost host = new ControlHost(settings, protocol, success.value(), Clock.system());
        host.start();
        stop.await();
        host.drain();
        return 0;
      }
    }
  }
}
