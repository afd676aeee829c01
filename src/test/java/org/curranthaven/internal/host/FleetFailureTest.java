package org.curranthaven.internal.host;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.UUID;
import org.curranthaven.api.Model;
import org.curranthaven.internal.configuration.Edit;
import org.curranthaven.internal.standin.LoadBalancer;
import org.curranthaven.internal.standin.LoadGenerator;
import org.curranthaven.internal.standin.LocalFleet;
import org.curranthaven.internal.standin.RequestKind;
import org.curranthaven.internal.standin.RunLog;
import org.curranthaven.internal.standin.StandinService;
import org.curranthaven.internal.standin.Workloads;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Hosts that are lost, wiped and restarted; conditions are awaited, no verdict rests on time. */
class FleetFailureTest {
  private final RunLog runLog = new RunLog();
  private LocalFleet fleet;
  private FleetClient client;
  private StandinService desk;

  @BeforeEach
  void startFleet() throws IOException, InterruptedException {
    fleet = LocalFleet.start(4, 3);
    client = new FleetClient(fleet);
    desk = StandinService.start(client.standin("desk-1", Workloads.DESK_SERVICE), runLog);
    FleetClient.await(
        () -> client.change(3, "setup", 0, Workloads.configurationEdits()).statusCode() == 200);
    assertThat(fleet.awaitReady(FleetClient.PATIENCE_MILLIS)).isTrue();
    FleetClient.await(() -> voters(3) == 3);
  }

  @AfterEach
  void stopFleet() {
    desk.close();
    fleet.close();
  }

  /**
   * Returns the voters of group 0 when no learner is left, as the control hosts up to {@code n}.
   */
  private int voters(int n) throws IOException, InterruptedException {
    for (int host = 0; host < n; host++) {
      JsonNode group = client.get(host, "/admin/v1/dump").at("/groups/0");
      if (group.path("role").asText().equals("LEADER")) {
        return group.path("learners").asInt() == 0 ? group.path("voters").asInt() : 0;
      }
    }
    return 0;
  }

  private int leader() throws IOException, InterruptedException {
    for (int host = 0; host < 3; host++) {
      try {
        if (client.get(host, "/admin/v1/dump").at("/groups/0/role").asText().equals("LEADER")) {
          return host;
        }
      } catch (IOException e) {
        // The host is stopped.
      }
    }
    return -1;
  }

  @Test
  void nothing_accepted_is_lost_with_the_leader_and_no_call_runs_twice()
      throws IOException, InterruptedException {
    String key = FleetClient.key();
    String nonce = UUID.randomUUID().toString();
    FleetClient.await(() -> client.hold(3, key, nonce).statusCode() == 200);
    int lost = leader();

    fleet.host(lost).stop();

    FleetClient.await(
        () ->
            client
                    .change(3, "after", 1, List.of(new Edit.PutModel(new Model("new", 100))))
                    .statusCode()
                == 200);
    int other = lost == 0 ? 1 : 0;
    FleetClient.await(() -> client.hold(other, key, nonce).statusCode() == 200);
    assertThat(runLog.startCount(nonce)).isEqualTo(1);
    assertThat(fleet.host(3).configuration().models()).containsKeys("new", Workloads.STORY_MODEL);
  }

  @Test
  void a_wiped_host_returns_as_a_new_voter_and_a_second_loss_right_after_costs_nothing()
      throws IOException, InterruptedException {
    String key = FleetClient.key();
    String nonce = UUID.randomUUID().toString();
    FleetClient.await(() -> client.hold(3, key, nonce).statusCode() == 200);
    fleet.host(1).stop();
    fleet.deleteData(1);
    fleet.restart(1);
    FleetClient.await(
        () ->
            voters(3) == 3 && client.get(1, "/admin/v1/dump").at("/groups/0/voters").asInt() == 3);
    FleetClient.await(() -> client.get(1, "/admin/v1/dump").at("/groups/1/voters").asInt() == 3);
    FleetClient.await(() -> client.get(1, "/admin/v1/dump").at("/groups/2/voters").asInt() == 3);
    FleetClient.await(() -> client.get(1, "/admin/v1/dump").at("/groups/0/learners").asInt() == 0);
    FleetClient.await(() -> client.get(1, "/admin/v1/dump").at("/groups/1/learners").asInt() == 0);
    FleetClient.await(() -> client.get(1, "/admin/v1/dump").at("/groups/2/learners").asInt() == 0);

    fleet.host(0).stop();

    FleetClient.await(
        () ->
            client
                    .change(3, "after", 1, List.of(new Edit.PutModel(new Model("new", 100))))
                    .statusCode()
                == 200);
    FleetClient.await(() -> client.hold(1, key, nonce).statusCode() == 200);
    assertThat(runLog.startCount(nonce)).isEqualTo(1);
  }

  @Test
  void a_rolling_restart_under_load_runs_nothing_twice_and_cuts_off_nothing()
      throws IOException, InterruptedException {
    List<RequestKind> kinds =
        List.of(
            new RequestKind("hold", Workloads.DESK_SERVICE, true, false, 0, 0, 0, 1),
            new RequestKind("charge", Workloads.DESK_SERVICE, true, false, 0, 0, 0, 1));
    try (LoadBalancer balancer = new LoadBalancer(fleet.httpAddresses());
        LoadGenerator load =
            new LoadGenerator(kinds, Workloads.serviceClasses(), balancer, runLog)) {
      FleetClient.await(() -> balancer.readyHostCount() == 4);
      Thread sender =
          Thread.ofPlatform()
              .start(
                  () -> {
                    try {
                      load.sendRequests(FleetClient.PATIENCE_MILLIS, 40, 3);
                    } catch (InterruptedException e) {
                      Thread.currentThread().interrupt();
                    }
                  });
      for (int host = 0; host < 4; host++) {
        load.recordPlannedStop(fleet.httpAddresses().get(host));
        assertThat(fleet.host(host).drain()).isZero();
        fleet.host(host).stop();
        fleet.restart(host);
        assertThat(fleet.awaitReady(FleetClient.PATIENCE_MILLIS)).isTrue();
      }
      sender.interrupt();
      sender.join();
      assertThat(load.awaitCompletion(FleetClient.PATIENCE_MILLIS)).isZero();

      assertThat(load.violations().noViolations()).as(load.violations().toString()).isTrue();
      assertThat(load.classes().values())
          .filteredOn(summary -> summary.sent() > 0)
          .hasSize(2)
          .allMatch(summary -> summary.completed() > 0);
      assertThat(fleet.host(0).configuration().revision()).isEqualTo(1);
    }
  }
}
