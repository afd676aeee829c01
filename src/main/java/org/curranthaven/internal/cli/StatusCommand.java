package org.curranthaven.internal.cli;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.curranthaven.api.Configuration;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.observe.TargetMonitor;
import org.curranthaven.internal.settings.Json;

/** {@code status}: each class against its targets, per data centre and in all. */
final class StatusCommand implements Command {
  private static final long WATCH_INTERVAL_MILLIS = 2_000;
  private static final String ALL_DATA_CENTRES = "all";

  @Override
  public void register(Subparsers parsers) {
    Subparser parser =
        parsers
            .addParser("status")
            .help("show each class against its targets")
            .description(
                "Shows each class against its targets over the last minute and the last 15 minutes,"
                    + " per data centre and in all. A class meets a target if 95 of 100 first"
                    + " replies, and of gaps, are within it. Exits with 2 if a class does not.");
    AdminOptions.add(parser);
    parser.addArgument("--watch").action(Arguments.storeTrue()).help("repeat every 2 seconds");
    parser.setDefault(Main.COMMAND, this);
  }

  /** Figures by data centre, then by class. */
  private record Status(Map<String, Map<String, TargetMonitor.ClassStatus>> byDataCentre) {
    boolean met() {
      return byDataCentre.getOrDefault(ALL_DATA_CENTRES, Map.of()).values().stream()
          .allMatch(status -> status.lastMinute().met());
    }
  }

  @Override
  public int run(Namespace arguments) throws IOException, InterruptedException {
    AdminClient client = AdminOptions.client(arguments);
    boolean watch = arguments.getBoolean("watch");
    Status status;
    do {
      status = read(client);
      if (arguments.getBoolean("json")) {
        System.out.println(
            Json.text(Map.of("met", status.met(), "classes", status.byDataCentre())));
      } else {
        print(status, client.configuration());
      }
      if (watch) {
        Thread.sleep(WATCH_INTERVAL_MILLIS);
      }
    } while (watch);
    return status.met() ? 0 : ResultCode.TARGETS_NOT_MET.exitCode();
  }

  private static Status read(AdminClient client) throws IOException, InterruptedException {
    Map<String, Map<String, TargetMonitor.ClassStatus>> sums = new TreeMap<>();
    for (JsonNode host : client.get("/admin/v1/hosts")) {
      Map<String, TargetMonitor.ClassStatus> classes;
      try {
        JsonNode page = new AdminClient(host.path("httpAddress").asText()).get("/admin/v1/status");
        classes = Json.MAPPER.convertValue(page, new TypeReference<>() {});
      } catch (IOException e) {
        System.err.println("host " + host.path("name").asText() + " does not answer");
        continue;
      }
      merge(sums, ALL_DATA_CENTRES, classes);
      merge(sums, host.path("dataCentre").asText(), classes);
    }
    return new Status(sums);
  }

  private static void merge(
      Map<String, Map<String, TargetMonitor.ClassStatus>> sums,
      String dataCentre,
      Map<String, TargetMonitor.ClassStatus> classes) {
    Map<String, TargetMonitor.ClassStatus> sum =
        sums.computeIfAbsent(dataCentre, name -> new LinkedHashMap<>());
    classes.forEach(
        (name, status) ->
            sum.merge(
                name,
                status,
                (a, b) ->
                    new TargetMonitor.ClassStatus(
                        a.lastMinute().plus(b.lastMinute()),
                        a.last15Minutes().plus(b.last15Minutes()))));
  }

  private static void print(Status status, Configuration configuration) {
    System.out.printf(
        "%-12s %-14s %-6s %22s %22s %8s%n",
        "data centre", "class", "met", "first reply 1m / 15m", "gap 1m / 15m", "failed");
    status
        .byDataCentre()
        .forEach(
            (dataCentre, classes) ->
                classes.forEach((name, figures) -> printRow(dataCentre, name, figures)));
    System.out.println(
        "configuration revision "
            + configuration.revision()
            + "; "
            + (status.met()
                ? "every class meets its targets"
                : "not every class meets its targets"));
  }

  private static void printRow(String dataCentre, String name, TargetMonitor.ClassStatus figures) {
    TargetMonitor.Window minute = figures.lastMinute();
    TargetMonitor.Window quarter = figures.last15Minutes();
    System.out.printf(
        "%-12s %-14s %-6s %22s %22s %8d%n",
        dataCentre,
        name,
        minute.met() ? "yes" : "NO",
        percentage(minute.repliesInTime(), minute.replies() + minute.failed())
            + " / "
            + percentage(quarter.repliesInTime(), quarter.replies() + quarter.failed()),
        percentage(minute.gapsInTime(), minute.gaps())
            + " / "
            + percentage(quarter.gapsInTime(), quarter.gaps()),
        minute.failed());
  }

  private static String percentage(long part, long whole) {
    return whole == 0 ? "-" : "%.1f%%".formatted(100.0 * part / whole);
  }
}
