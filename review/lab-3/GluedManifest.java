import java.nio.file.Path;

/**
 * The operator's manifest arrives with the beginning of another copy behind it, so that it cannot
 * be read in full. It has to be refused, and must not be in force.
 */
final class GluedManifest {
  private static final String ROUTE =
      "{\"name\":\"%1$s\",\"host\":\"site.example\",\"pathPrefix\":\"/%1$s/\",\"kind\":\"idempotent\","
          + "\"timeoutMs\":3000,\"targetLatencyMs\":386,\"priority\":2,\"service\":\"app\",\"attempts\":2}";

  private static String manifest(int version, String... routes) {
    String all = "";
    for (String route : routes) {
      all += (all.isEmpty() ? "" : ",") + ROUTE.formatted(route);
    }
    return "{\"version\":" + version + ",\"routes\":[" + all
        + "],\"services\":[{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConns\":100,"
        + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
        + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
  }

  public static void main(String[] arguments) throws Exception {
    Path repository = Path.of(arguments[0]);
    Path folder = Path.of(arguments[1]);
    Record record = new Record(Path.of(arguments[2]));
    boolean trouble = arguments[3].equals("1");
    int exit;
    try (Fleet fleet = new Fleet(repository, folder, record)) {
      for (int number = 1; number <= Fleet.CONTROLS; number++) {
        fleet.startControl(number, true);
      }
      fleet.startGateway(1);
      String first = manifest(1, "page");
      if (!fleet.order("PUT", "/api/config", first, 30_000) || !fleet.awaitReady(1, 20_000)) {
        record.add("the fleet did not start");
        System.exit(2);
      }
      String second = manifest(2, "page", "added");
      String third = manifest(3, "page", "added", "last");
      // Cut in the middle of the copy behind.
      String sent = trouble ? second + third.substring(0, third.length() / 2) : second;
      Http.Message answer =
          Http.call(fleet.controlAddress(2), "PUT", "/api/config", sent, 5_000);
      record.add("operator sends: " + sent);
      record.add("operator gets: " + answer.status() + " " + answer.body());
      Thread.sleep(3_000);
      Http.Message read = Http.call(fleet.controlAddress(3), "GET", "/api/config", "", 5_000);
      record.add("operator reads 3 s later: " + read.status() + " " + read.body());
      Http.Message probe = probe(fleet.frontAddress(1));
      record.add("client asks for a path that only version 2 has: " + probe.status() + " " + probe.body());
      boolean acknowledged = answer.status() / 100 == 2;
      boolean inForce = probe.status() != 404;
      boolean readBack = read.status() == 200 && Manifests.version(read.body()) != 1;
      if (trouble) {
        exit = acknowledged || inForce || readBack ? 1 : 0;
        record.add(
            exit == 0
                ? "held"
                : "BROKEN: a manifest that cannot be read in full is acknowledged: " + acknowledged
                    + ", in force: " + inForce + ", read back: " + readBack);
      } else {
        exit = acknowledged && inForce && Manifests.version(read.body()) == 2 && read.body().contains("/added/") ? 0 : 1;
        record.add(exit == 0 ? "held" : "BROKEN: a valid manifest is not in force");
      }
    }
    System.exit(exit);
  }

  /** Returns 404 if no route has the path, and 503 if one has: no runner is there. */
  private static Http.Message probe(String front) throws Exception {
    try (java.net.Socket socket = Http.connect(front, 10_000)) {
      Http.write(
          socket,
          "GET /added/1 HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: probe-1\r\nDeadline-Ms: 3000\r\n"
              + "Connection: close\r\n\r\n");
      return Http.read(new java.io.BufferedInputStream(socket.getInputStream()));
    }
  }
}
