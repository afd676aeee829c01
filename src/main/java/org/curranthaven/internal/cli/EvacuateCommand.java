package org.curranthaven.internal.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.List;
import java.util.ServiceLoader;
import java.util.Set;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.curranthaven.api.Failure;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.relay.OperatorCall;
import org.curranthaven.internal.relay.WireProtocol;
import org.curranthaven.internal.supervision.Clock;

/**
 * {@code evacuate}: orders that no requests are sent to the backend servers of a data centre, or
 * withdraws the order.
 */
final class EvacuateCommand implements Command {
  /** Time after which the order is sent again, to the next control host. */
  private static final long CALL_TIMEOUT_MILLIS = 1_000;

  /** Time for which the order is sent again. */
  private static final long TOTAL_TIMEOUT_MILLIS = 5_000;

  private static final long RETRY_DELAY_MILLIS = 100;

  /** Statuses after which the same order would be rejected again. */
  private static final Set<Integer> FINAL_STATUSES = Set.of(400, 404, 409, 412, 413, 422);

  private static final int OK = 200;

  @Override
  public void register(Subparsers parsers) {
    Subparser parser =
        parsers
            .addParser("evacuate")
            .help("send no more requests to the backend servers of a data centre");
    parser.addArgument("data_centre").metavar("DATA_CENTRE").help("name of the data centre");
    parser.addArgument("--end").action(Arguments.storeTrue()).help("withdraw the order");
    parser
        .addArgument("--control")
        .action(Arguments.append())
        .required(true)
        .metavar("HOST:PORT")
        .help("control address of a control host; may be given several times");
    parser.setDefault(Main.COMMAND, this);
  }

  @Override
  public int run(Namespace arguments) throws IOException, InterruptedException {
    WireProtocol protocol =
        ServiceLoader.load(WireProtocol.class).findFirst().orElseThrow(IllegalStateException::new);
    String dataCentre = arguments.getString("data_centre");
    boolean ends = arguments.getBoolean("end");
    List<String> controlHosts = arguments.getList("control");
    Reply reply =
        send(protocol.evacuationCall(dataCentre, ends, null), controlHosts, Clock.system());
    if (reply.status() != OK) {
      return Main.reportFailure(failure(reply));
    }
    System.out.println(
        ends
            ? "the evacuation of data centre " + dataCentre + " has ended"
            : "the evacuation of data centre " + dataCentre + " is in force");
    return 0;
  }

  /**
   * Reply of a control host.
   *
   * @param status HTTP status; 0 if no host replied
   * @param text body, or the reason why no host replied
   */
  record Reply(int status, String text) {}

  private static Failure failure(Reply reply) {
    ResultCode code =
        FINAL_STATUSES.contains(reply.status())
            ? ResultCode.CONFIGURATION_INVALID
            : ResultCode.CHANGE_UNKNOWN;
    return Failure.of(
        code, "the order was not acknowledged (status " + reply.status() + "): " + reply.text());
  }

  /** Sends an order until it is acknowledged, is rejected for good, or its time is up. */
  static Reply send(OperatorCall call, List<String> controlHosts, Clock clock)
      throws InterruptedException {
    long endMillis = clock.nowMillis() + TOTAL_TIMEOUT_MILLIS;
    // The client follows a limited number of redirects: the first names the revision of the orders.
    try (HttpClient client =
        HttpClient.newBuilder().followRedirects(HttpClient.Redirect.NORMAL).build()) {
      for (int attempt = 0; ; attempt++) {
        Reply reply = sendOnce(client, call, controlHosts.get(attempt % controlHosts.size()));
        boolean isFinal = reply.status() == OK || FINAL_STATUSES.contains(reply.status());
        if (isFinal || clock.nowMillis() + RETRY_DELAY_MILLIS >= endMillis) {
          return reply;
        }
        Thread.sleep(RETRY_DELAY_MILLIS);
      }
    }
  }

  private static Reply sendOnce(HttpClient client, OperatorCall call, String controlHost)
      throws InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + controlHost + call.path()))
            .method(call.method(), HttpRequest.BodyPublishers.noBody())
            .timeout(Duration.ofMillis(CALL_TIMEOUT_MILLIS))
            .build();
    try {
      HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
      return new Reply(response.statusCode(), response.body());
    } catch (HttpTimeoutException e) {
      return new Reply(0, "control host " + controlHost + " did not reply in time");
    } catch (IOException e) {
      return new Reply(0, "control host " + controlHost + " cannot be reached: " + e.getMessage());
    }
  }
}
