package org.curranthaven.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.curranthaven.api.Outcome;
import org.curranthaven.internal.host.HostProcess;
import org.curranthaven.internal.membership.BackendAnnouncement;
import org.curranthaven.internal.standin.ClassStatistics;
import org.curranthaven.internal.standin.EngineOptions;
import org.curranthaven.internal.standin.GuaranteeViolations;
import org.curranthaven.internal.standin.LoadBalancer;
import org.curranthaven.internal.standin.LoadGenerator;
import org.curranthaven.internal.standin.LocalFleet;
import org.curranthaven.internal.standin.RunLog;
import org.curranthaven.internal.standin.StandinEngine;
import org.curranthaven.internal.standin.StandinOptions;
import org.curranthaven.internal.standin.StandinService;
import org.curranthaven.internal.standin.Workloads;

/** One run of the demo: a fleet, stand-ins, a load and a list of faults. */
final class DemoRun {
  private static final int HOSTS = 5;
  private static final int CONTROL_HOSTS = 3;
  private static final int ENGINE_BLOCKS = 260;
  private static final long READY_MILLIS = 15_000;
  private static final long END_MILLIS = 60_000;
  private static final long RECLAIM_NOTICE_MILLIS = 1_500;
  private static final int MILLIS_PER_SECOND = 1_000;

  private final Options options;
  private final Consumer<String> progress;
  private final RunLog runLog = new RunLog();
  private final List<StandinEngine> engines = new ArrayList<>();
  private final List<StandinService> services = new ArrayList<>();
  private final long startNanos = System.nanoTime();

  /**
   * Options of a run.
   *
   * @param seconds how long to send requests
   * @param requestsPerSecond mean rate of requests
   * @param seed seed of the load
   * @param hold whether to keep running afterwards
   */
  record Options(int seconds, double requestsPerSecond, long seed, boolean hold) {}

  /** What a run showed. */
  record Report(
      Map<String, ClassStatistics.Summary> classes,
      GuaranteeViolations.Counts promises,
      long preemptions,
      int unfinished) {}

  DemoRun(Options options, Consumer<String> progress) {
    this.options = options;
    this.progress = progress;
  }

  Report run() throws IOException, InterruptedException {
    try (LocalFleet fleet = LocalFleet.start(HOSTS, CONTROL_HOSTS);
        LoadBalancer balancer = new LoadBalancer(fleet.httpAddresses())) {
      startStandins(fleet.httpAddresses());
      configure(fleet);
      say("five hosts in three data centres are ready, configuration in force");
      Report report = load(fleet, balancer);
      if (options.hold()) {
        hold(fleet);
      }
      return report;
    } finally {
      engines.forEach(StandinEngine::close);
      services.forEach(StandinService::close);
    }
  }

  private void startStandins(List<String> hosts) throws IOException {
    for (int i = 1; i <= 3; i++) {
      engines.add(StandinEngine.start(engine("story-" + i, Workloads.STORY_MODEL, hosts), runLog));
      engines.add(
          StandinEngine.start(engine("lounge-" + i, Workloads.LOUNGE_MODEL, hosts), runLog));
    }
    for (int i = 1; i <= 2; i++) {
      services.add(
          StandinService.start(engine("desk-" + i, Workloads.DESK_SERVICE, hosts), runLog));
      services.add(
          StandinService.start(engine("archive-" + i, Workloads.ARCHIVE_SERVICE, hosts), runLog));
    }
  }

  private static StandinOptions engine(String name, String model, List<String> hosts) {
    return new StandinOptions(
        name,
        "a",
        0,
        hosts,
        model,
        EngineOptions.standard().withBlocks(ENGINE_BLOCKS),
        BackendAnnouncement.Resume.TAKEOVER,
        true);
  }

  private static void configure(LocalFleet fleet) throws IOException, InterruptedException {
    AdminClient admin = new AdminClient(fleet.httpAddresses().getLast());
    boolean answering =
        LocalFleet.await(
            READY_MILLIS, () -> !fleet.host(HOSTS - 1).network().connectedHosts().isEmpty());
    Outcome<JsonNode> outcome =
        answering
            ? admin.change("demo-setup", 0, "demo", Workloads.configurationEdits())
            : Outcome.failed(
                org.curranthaven.api.ResultCode.HOST_UNREACHABLE, "the hosts do not connect");
    if (outcome instanceof Outcome.Failed<JsonNode> failed) {
      throw new IOException(failed.failure().sentence());
    }
    if (!fleet.awaitReady(READY_MILLIS)) {
      throw new IOException("not every host became ready");
    }
  }

  private Report load(LocalFleet fleet, LoadBalancer balancer) throws InterruptedException {
    LocalFleet.await(READY_MILLIS, () -> balancer.readyHostCount() == HOSTS);
    try (LoadGenerator load =
        new LoadGenerator(Workloads.requestKinds(), Workloads.serviceClasses(), balancer, runLog)) {
      Thread faults = Thread.ofPlatform().daemon(true).start(() -> faults(fleet, load));
      load.sendRequests(
          (long) options.seconds() * MILLIS_PER_SECOND,
          options.requestsPerSecond(),
          options.seed());
      faults.join();
      say(
          "all "
              + load.sentRequestCount()
              + " requests are sent; waiting for "
              + load.openRequestCount()
              + " answers");
      int unfinished = load.awaitCompletion(END_MILLIS);
      long preemptions = engines.stream().mapToLong(StandinEngine::preemptionCount).sum();
      return new Report(load.classes(), load.violations(), preemptions, unfinished);
    }
  }

  private void faults(LocalFleet fleet, LoadGenerator load) {
    try {
      waitUntil(0.15);
      boolean silenced = engines.stream().anyMatch(StandinEngine::stallOneConnection);
      say(silenced ? "fault: one open stream goes silent for good" : "no stream to silence");
      waitUntil(0.3);
      say("fault: engine " + engines.get(0).name() + " is lost");
      engines.get(0).close();
      waitUntil(0.45);
      StandinEngine reclaimed = engines.get(3);
      say("fault: engine " + reclaimed.name() + " is reclaimed at short notice");
      reclaimed.announceState(BackendAnnouncement.State.RECLAIMED);
      Thread.sleep(RECLAIM_NOTICE_MILLIS);
      reclaimed.close();
      waitUntil(0.6);
      HostProcess leaving = fleet.host(0);
      say("planned stop of " + leaving.name() + ", which may lead groups");
      load.recordPlannedStop(leaving.settings().httpAddress());
      int left = leaving.drain();
      leaving.stop();
      say("planned stop of " + leaving.name() + " is done; " + left + " requests were open");
      waitUntil(0.8);
      say("fault: " + fleet.host(4).name() + " stops at once");
      fleet.host(4).stop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private long loadStartNanos;

  private void waitUntil(double share) throws InterruptedException {
    if (loadStartNanos == 0) {
      loadStartNanos = System.nanoTime();
    }
    long due = (long) (share * options.seconds() * 1e9) - (System.nanoTime() - loadStartNanos);
    if (due > 0) {
      Thread.sleep(due / 1_000_000);
    }
  }

  private void hold(LocalFleet fleet) throws InterruptedException {
    say("holding; try for example:");
    say(
        "  curl -N http://"
            + fleet.httpAddresses().get(1)
            + "/v1/completions -H 'Authorization: Bearer "
            + Workloads.API_KEY
            + "' -d '{\"model\":\"lounge\",\"stream\":true,"
            + "\"prompt\":\"[[nonce=me tokens=20]]\"}'");
    say("  curl http://" + fleet.httpAddresses().get(1) + "/admin/v1/dump");
    Thread.sleep(Long.MAX_VALUE);
  }

  private void say(String text) {
    progress.accept("%6.1f s  %s".formatted((System.nanoTime() - startNanos) / 1e9, text));
  }
}
