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

/**
 * {@code status}: compares each class with its targets, for each data centre and for all of them.
 */
final class StatusCommand implements Command {
  private static final long WATCH_INTERVAL_MILLIS = 2_000;
  private static final String ALL_DATA_CENTRES = "all";

  @Override
  public void register(Subparsers parsers) {
    Subparser parser =
        parsers
            .addParser("status")
            .help("show whether each class meets its targets")
            .description(
                "Shows how well each class met its targets in the last minute and the last 15"
                    + " minutes, for each data centre and for all of them. A class meets its"
                    + " targets if 95 of 100 first replies and 95 of 100 gaps are within them."
                    + " Exits with 2 if a class does not meet its targets in the last minute.");
    AdminOptions.add(parser);
    parser.addArgument("--watch").action(Arguments.storeTrue()).help("repeat every 2 seconds");
    parser.setDefault(Main.COMMAND, this);
  }

  /** Figures by data centre, or {@link #ALL_DATA_CENTRES}, then by class. */
  private record Status(Map<String, Map<String, TargetMonitor.ClassStatus>> byDataCentre) {
    /** Returns whether every class met its targets in the last minute, over all data centres. */
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
    Map<String, Map<String, TargetMonitor.ClassStatus>> byDataCentre = new TreeMap<>();
    for (JsonNode host : client.get("/admin/v1/hosts")) {
      Map<String, TargetMonitor.ClassStatus> classes;
      try {
        JsonNode document =
            new AdminClient(host.path("httpAddress").asText()).get("/admin/v1/status");
        classes = Json.MAPPER.convertValue(document, new TypeReference<>() {});
      } catch (IOException e) {
        System.err.println(
            "host "
                + host.path("name").asText()
                + " at "
                + host.path("httpAddress").asText()
                + " did not respond and is left out of the figures: "
                + e);
        continue;
      }
      merge(byDataCentre, ALL_DATA_CENTRES, classes);
      merge(byDataCentre, host.path("dataCentre").asText(), classes);
    }
    return new Status(byDataCentre);
  }

  private static void merge(
      Map<String, Map<String, TargetMonitor.ClassStatus>> byDataCentre,
      String dataCentre,
      Map<String, TargetMonitor.ClassStatus> classes) {
    Map<String, TargetMonitor.ClassStatus> sumByClass =
        byDataCentre.computeIfAbsent(dataCentre, name -> new LinkedHashMap<>());
    classes.forEach(
        (name, status) ->
            sumByClass.merge(
                name,
                status,
                (first, second) ->
                    new TargetMonitor.ClassStatus(
                        first.lastMinute().plus(second.lastMinute()),
                        first.last15Minutes().plus(second.last15Minutes()))));
  }

  private static void print(Status status, Configuration configuration) {
    System.out.printf(
        "%-12s %-14s %-6s %22s %22s %8s%n",
        "data centre", "class", "met", "first reply 1m / 15m", "gap 1m / 15m", "failed");
    status
        .byDataCentre()
        .forEach(
            (dataCentre, classes) ->
                classes.forEach(
                    (className, classStatus) -> printRow(dataCentre, className, classStatus)));
    System.out.println(
        "configuration revision "
            + configuration.revision()
            + "; "
            + (status.met()
                ? "every class meets its targets"
                : "not every class meets its targets"));
  }

  private static void printRow(
      String dataCentre, String className, TargetMonitor.ClassStatus classStatus) {
    TargetMonitor.Window lastMinute = classStatus.lastMinute();
    TargetMonitor.Window last15Minutes = classStatus.last15Minutes();
    System.out.printf(
        "%-12s %-14s %-6s %22s %22s %8d%n",
        dataCentre,
        className,
        lastMinute.met() ? "yes" : "NO",
        percentage(lastMinute.repliesInTime(), lastMinute.replies() + lastMinute.failed())
            + " / "
            + percentage(
                last15Minutes.repliesInTime(), last15Minutes.replies() + last15Minutes.failed()),
        percentage(lastMinute.gapsInTime(), lastMinute.gaps())
            + " / "
            + percentage(last15Minutes.gapsInTime(), last15Minutes.gaps()),
        lastMinute.failed());
  }

  private static String percentage(long part, long whole) {
    return whole == 0 ? "-" : "%.1f%%".formatted(100.0 * part / whole);
  }
}
