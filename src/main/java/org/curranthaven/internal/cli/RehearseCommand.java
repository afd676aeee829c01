package org.curranthaven.internal.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
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
import org.curranthaven.internal.standin.LocalFleet;
import org.curranthaven.internal.supervision.Clock;

/**
 * {@code rehearse}: starts a control host and a gateway in one process on loopback addresses, sends
 * a request to each, and exits. The build runs it to record the classes that a start loads in the
 * class data sharing archive.
 */
final class RehearseCommand implements Command {
  private static final long STARTUP_DELAY_MILLIS = 2_500;
  private static final int SOCKET_TIMEOUT_MILLIS = 2_000;

  @Override
  public void register(Subparsers parsers) {
    Subparser parser =
        parsers
            .addParser("rehearse")
            .help("start a control host and a gateway on loopback addresses, and exit");
    parser.addArgument("--protocol").required(true).help("name of the wire protocol");
    parser.setDefault(Main.COMMAND, this);
  }

  @Override
  public int run(Namespace arguments) throws InterruptedException, IOException {
    Logging.configure(true);
    String protocolName = arguments.getString("protocol");
    WireProtocol protocol = ServeRoutedCommand.findProtocol(protocolName);
    if (protocol == null) {
      return Main.reportFailure(
          Failure.of(ResultCode.USAGE, "unknown wire protocol '" + protocolName + "'"));
    }
    List<String> addresses = LocalFleet.freeAddresses(3);
    String controlPeer = addresses.get(0);
    String controlAddress = addresses.get(1);
    String callerAddress = addresses.get(2);
    Path dataFolder = Files.createTempDirectory("curranthaven-rehearsal");
    RoutedSettings control =
        settings(
            """
            {"name": "control-1", "peerAddress": "%s", "controlAddress": "%s", "dataFolder": "%s",
             "firstStart": true, %s}
            """
                .formatted(controlPeer, controlAddress, dataFolder, commonSettings(controlPeer)));
    RoutedSettings gateway =
        settings(
            """
            {"name": "gateway-1", "peerAddress": "%s", "callerAddress": "%s", %s}
            """
                .formatted(
                    secondLoopbackAddress(controlPeer),
                    callerAddress,
                    commonSettings(controlPeer)));
    if (!(DataFolder.open(dataFolder) instanceof Outcome.Success<DataFolder> opened)) {
      return Main.reportFailure(
          Failure.of(ResultCode.STORAGE_FAILED, "data folder " + dataFolder + " cannot be opened"));
    }
    new ControlHost(control, protocol, opened.value(), Clock.system()).start();
    new Gateway(gateway, protocol, Clock.system()).start();
    Thread.sleep(STARTUP_DELAY_MILLIS);
    sendRequest(callerAddress);
    sendRequest(controlAddress);
    return 0;
  }

  private static String commonSettings(String contact) {
    return """
           "dataCentre": "here", "contacts": ["%s"], "drainSeconds": 1, "retryRatio": 0.2,
           "retrySlack": 10, "retryWindowSeconds": 10, "registrationMillis": 1000
           """
        .formatted(contact);
  }

  /** Reads settings as a host does, so that the classes of the reader are recorded too. */
  private static RoutedSettings settings(String text) {
    return switch (RoutedSettings.of(text)) {
      case Outcome.Success<RoutedSettings> success -> success.value();
      case Outcome.Failed<RoutedSettings> failed ->
          throw new IllegalStateException(failed.failure().fullMessage());
    };
  }

  /** Returns another loopback address with the same port: all hosts use the same peer port. */
  private static String secondLoopbackAddress(String address) {
    return address.replace("127.0.0.1", "127.0.0.2");
  }

  private static void sendRequest(String address) throws IOException {
    int portSeparator = address.indexOf(':');
    int port = Integer.parseInt(address.substring(portSeparator + 1));
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
      OutputStream out = socket.getOutputStream();
      String request = "GET /rehearsal HTTP/1.1\r\nHost: here\r\nConnection: close\r\n\r\n";
      out.write(request.getBytes(StandardCharsets.US_ASCII));
      InputStream in = socket.getInputStream();
      in.readAllBytes();
    }
  }
}
