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

/**
 * Tests the loss, wipe and restart of hosts in a fleet on loopback. The tests await conditions; no
 * assertion depends on timing.
 */
class FleetFailureTest {
  private final RunLog runLog = new RunLog();
  private LocalFleet fleet;
  private FleetClient client;
  private StandinService service;

  @BeforeEach
  void startFleet() throws IOException, InterruptedException {
    fleet = LocalFleet.start(4, 3);
    client = new FleetClient(fleet);
    service = StandinService.start(client.standin("desk-1", Workloads.DESK_SERVICE), runLog);
    FleetClient.await(
        () -> client.change(3, "setup", 0, Workloads.configurationEdits()).statusCode() == 200);
    assertThat(fleet.awaitReady(FleetClient.CONDITION_TIMEOUT_MILLIS)).isTrue();
    FleetClient.await(() -> voters(3) == 3);
  }

  @AfterEach
  void stopFleet() {
    service.close();
    fleet.close();
  }

  /**
   * Returns the number of voters of group 0 according to its leader among the first {@code hosts}
   * hosts, or 0 if there is no such leader or a learner is left.
   */
  private int voters(int hosts) throws IOException, InterruptedException {
    for (int host = 0; host < hosts; host++) {
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
        // This host is stopped.
      }
    }
    return -1;
  }

  @Test
  void the_loss_of_the_leader_loses_no_accepted_change_and_runs_no_request_twice()
      throws IOException, InterruptedException {
    String idempotencyKey = FleetClient.newIdempotencyKey();
    String nonce = UUID.randomUUID().toString();
    FleetClient.await(() -> client.sendHold(3, idempotencyKey, nonce).statusCode() == 200);
    int lostHost = leader();

    fleet.host(lostHost).stop();

    FleetClient.await(
        () ->
            client
                    .change(3, "after", 1, List.of(new Edit.PutModel(new Model("new", 100))))
                    .statusCode()
                == 200);
    int otherHost = lostHost == 0 ? 1 : 0;
    FleetClient.await(() -> client.sendHold(otherHost, idempotencyKey, nonce).statusCode() == 200);
    assertThat(runLog.startCount(nonce)).isEqualTo(1);
    assertThat(fleet.host(3).configuration().models()).containsKeys("new", Workloads.STORY_MODEL);
  }

  @Test
  void a_wiped_host_rejoins_as_a_new_voter_and_another_host_can_be_lost_right_after()
      throws IOException, InterruptedException {
    String idempotencyKey = FleetClient.newIdempotencyKey();
    String nonce = UUID.randomUUID().toString();
    FleetClient.await(() -> client.sendHold(3, idempotencyKey, nonce).statusCode() == 200);
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
    FleetClient.await(() -> client.sendHold(1, idempotencyKey, nonce).statusCode() == 200);
    assertThat(runLog.startCount(nonce)).isEqualTo(1);
  }

  @Test
  void a_rolling_restart_under_load_runs_no_request_twice_and_interrupts_none()
      throws IOException, InterruptedException {
    List<RequestKind> requestKinds =
        List.of(
            new RequestKind("hold", Workloads.DESK_SERVICE, true, false, 0, 0, 0, 1),
            new RequestKind("charge", Workloads.DESK_SERVICE, true, false, 0, 0, 0, 1));
    try (LoadBalancer balancer = new LoadBalancer(fleet.httpAddresses());
        LoadGenerator load =
            new LoadGenerator(requestKinds, Workloads.serviceClasses(), balancer, runLog)) {
      FleetClient.await(() -> balancer.readyHostCount() == 4);
      Thread loadThread =
          Thread.ofPlatform()
              .start(
                  () -> {
                    try {
                      load.sendRequests(FleetClient.CONDITION_TIMEOUT_MILLIS, 40, 3);
                    } catch (InterruptedException e) {
                      Thread.currentThread().interrupt();
                    }
                  });
      for (int host = 0; host < 4; host++) {
        load.recordPlannedStop(fleet.httpAddresses().get(host));
        assertThat(fleet.host(host).drain()).isZero();
        fleet.host(host).stop();
        fleet.restart(host);
        assertThat(fleet.awaitReady(FleetClient.CONDITION_TIMEOUT_MILLIS)).isTrue();
      }
      loadThread.interrupt();
      loadThread.join();
      assertThat(load.awaitCompletion(FleetClient.CONDITION_TIMEOUT_MILLIS)).isZero();

      assertThat(load.violations().noViolations()).as(load.violations().toString()).isTrue();
      assertThat(load.classes().values())
          .filteredOn(summary -> summary.sent() > 0)
          .hasSize(2)
          .allMatch(summary -> summary.completed() > 0);
      assertThat(fleet.host(0).configuration().revision()).isEqualTo(1);
    }
  }
}
