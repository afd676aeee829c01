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

/**
 * One run of the demo: starts a fleet of hosts and stand-in backend servers, sends requests and
 * injects faults at fixed fractions of the load time. Runs once.
 */
final class DemoRun {
  private static final int HOSTS = 5;
  private static final int CONTROL_HOSTS = 3;
  private static final int ENGINE_BLOCKS = 260;
  private static final long READY_TIMEOUT_MILLIS = 15_000;
  static final long COMPLETION_TIMEOUT_MILLIS = 60_000;
  private static final long RECLAIM_NOTICE_MILLIS = 1_500;
  private static final int MILLIS_PER_SECOND = 1_000;

  private final Options options;
  private final Consumer<String> progress;
  private final RunLog runLog = new RunLog();
  private final List<StandinEngine> engines = new ArrayList<>();
  private final List<StandinService> services = new ArrayList<>();
  private final long startNanos = System.nanoTime();

  /** Start of the load, or 0 before it. Confined to the thread that injects faults. */
  private long loadStartNanos;

  /**
   * Options of a demo run.
   *
   * @param seconds duration of the load
   * @param requestsPerSecond mean rate of requests
   * @param seed seed of the random load
   * @param keepRunning whether to keep the fleet running after the load
   */
  record Options(int seconds, double requestsPerSecond, long seed, boolean keepRunning) {}

  /**
   * Results of a demo run.
   *
   * @param classes results by class
   * @param promises counts of broken promises
   * @param preemptions preemptions on all engines
   * @param unfinished requests that did not finish in time
   */
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
      printProgress(
          HOSTS + " hosts in three data centres are ready, and the configuration is active");
      Report report = runLoad(fleet, balancer);
      if (options.keepRunning()) {
        keepRunning(fleet);
      }
      return report;
    } finally {
      engines.forEach(StandinEngine::close);
      services.forEach(StandinService::close);
    }
  }

  private void startStandins(List<String> hosts) throws IOException {
    for (int i = 1; i <= 3; i++) {
      engines.add(
          StandinEngine.start(standinOptions("story-" + i, Workloads.STORY_MODEL, hosts), runLog));
      engines.add(
          StandinEngine.start(
              standinOptions("lounge-" + i, Workloads.LOUNGE_MODEL, hosts), runLog));
    }
    for (int i = 1; i <= 2; i++) {
      services.add(
          StandinService.start(standinOptions("desk-" + i, Workloads.DESK_SERVICE, hosts), runLog));
      services.add(
          StandinService.start(
              standinOptions("archive-" + i, Workloads.ARCHIVE_SERVICE, hosts), runLog));
    }
  }

  private static StandinOptions standinOptions(String name, String model, List<String> hosts) {
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
    boolean connected =
        LocalFleet.await(
            READY_TIMEOUT_MILLIS,
            () -> !fleet.host(HOSTS - 1).network().connectedHosts().isEmpty());
    Outcome<JsonNode> outcome =
        connected
            ? admin.submitChange("demo-setup", 0, "demo", Workloads.configurationEdits())
            : Outcome.failed(
                org.curranthaven.api.ResultCode.HOST_UNREACHABLE,
                "no host connected to "
                    + fleet.host(HOSTS - 1).name()
                    + " within "
                    + READY_TIMEOUT_MILLIS
                    + " ms");
    if (outcome instanceof Outcome.Failed<JsonNode> failed) {
      throw new IOException(failed.failure().fullMessage());
    }
    if (!fleet.awaitReady(READY_TIMEOUT_MILLIS)) {
      throw new IOException(
          "not every host became ready within "
              + READY_TIMEOUT_MILLIS
              + " ms; try again when the machine is less busy");
    }
  }

  private Report runLoad(LocalFleet fleet, LoadBalancer balancer) throws InterruptedException {
    LocalFleet.await(READY_TIMEOUT_MILLIS, () -> balancer.readyHostCount() == HOSTS);
    try (LoadGenerator load =
        new LoadGenerator(Workloads.requestKinds(), Workloads.serviceClasses(), balancer, runLog)) {
      Thread faultThread = Thread.ofPlatform().daemon(true).start(() -> injectFaults(fleet, load));
      load.sendRequests(
          (long) options.seconds() * MILLIS_PER_SECOND,
          options.requestsPerSecond(),
          options.seed());
      faultThread.join();
      printProgress(
          "sent all "
              + load.sentRequestCount()
              + " requests, of which "
              + load.openRequestCount()
              + " are still open");
      int unfinished = load.awaitCompletion(COMPLETION_TIMEOUT_MILLIS);
      long preemptions = engines.stream().mapToLong(StandinEngine::preemptionCount).sum();
      return new Report(load.classes(), load.violations(), preemptions, unfinished);
    }
  }

  private void injectFaults(LocalFleet fleet, LoadGenerator load) {
    try {
      sleepUntil(0.15);
      boolean stalled = engines.stream().anyMatch(StandinEngine::stallOneConnection);
      printProgress(
          stalled
              ? "fault: one open stream gets no more tokens, but its connection stays open"
              : "fault left out: there is no open stream to stall");
      sleepUntil(0.3);
      printProgress("fault: engine " + engines.get(0).name() + " stops without notice");
      engines.get(0).close();
      sleepUntil(0.45);
      StandinEngine reclaimed = engines.get(3);
      printProgress(
          "fault: engine "
              + reclaimed.name()
              + " is reclaimed and stops in "
              + RECLAIM_NOTICE_MILLIS
              + " ms");
      reclaimed.announceState(BackendAnnouncement.State.RECLAIMED);
      Thread.sleep(RECLAIM_NOTICE_MILLIS);
      reclaimed.close();
      sleepUntil(0.6);
      HostProcess leaving = fleet.host(0);
      printProgress("planned stop of " + leaving.name() + ", which may lead consensus groups");
      load.recordPlannedStop(leaving.settings().httpAddress());
      int openRequests = leaving.drain();
      leaving.stop();
      printProgress(
          "planned stop of "
              + leaving.name()
              + " is done; "
              + openRequests
              + " requests were still open");
      sleepUntil(0.8);
      printProgress("fault: " + fleet.host(4).name() + " stops without draining");
      fleet.host(4).stop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sleeps until a fraction of the load time has passed; its first call starts that time. */
  private void sleepUntil(double loadFraction) throws InterruptedException {
    if (loadStartNanos == 0) {
      loadStartNanos = System.nanoTime();
    }
    long remainingNanos =
        (long) (loadFraction * options.seconds() * 1e9) - (System.nanoTime() - loadStartNanos);
    if (remainingNanos > 0) {
      Thread.sleep(remainingNanos / 1_000_000);
    }
  }

  private void keepRunning(LocalFleet fleet) throws InterruptedException {
    printProgress("the fleet keeps running; examples of requests:");
    printProgress(
        "  curl -N http://"
            + fleet.httpAddresses().get(1)
            + "/v1/completions -H 'Authorization: Bearer "
            + Workloads.API_KEY
            + "' -d '{\"model\":\"lounge\",\"stream\":true,"
            + "\"prompt\":\"[[nonce=me tokens=20]]\"}'");
    printProgress("  curl http://" + fleet.httpAddresses().get(1) + "/admin/v1/dump");
    Thread.sleep(Long.MAX_VALUE);
  }

  private void printProgress(String text) {
    progress.accept("%6.1f s  %s".formatted((System.nanoTime() - startNanos) / 1e9, text));
  }
}
