package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import org.curranthaven.internal.dispatch.DispatchFeatures;
import org.curranthaven.internal.dispatch.RetryLimits;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.Evacuation;
import org.curranthaven.internal.transport.wire.GatewayStatus;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.curranthaven.internal.transport.wire.SchedulerView;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Guards against a gateway that acknowledges an order and does not obey it, or forgets it. */
class EvacuatedDataCentresTest {
  private final ManualTime time = new ManualTime();
  private final List<Envelope> sent = new ArrayList<>();
  private final List<String> shown = new ArrayList<>();
  private final SchedulerLink link = newLink(time);

  private SchedulerLink newLink(Clock clock) {
    return new SchedulerLink(
        "gateway-1",
        time.loop(),
        clock,
        new SplittableRandom(1),
        new RetryLimits(0.2, 10, 10_000),
        (host, message) -> sent.add(message.build()),
        new SchedulerLink.ViewListener() {
          @Override
          public void catalogReceived(byte[] document) {}

          @Override
          public void backendsChanged(Collection<BackendRecord> backends) {}

          @Override
          public void evacuationChanged(Collection<String> dataCentres) {
            shown.clear();
            shown.addAll(dataCentres);
          }
        },
        DispatchFeatures.none());
  }

  /** A request that records where it was placed. */
  private static final class PlacedRequest implements RequestPlacer.PlacementListener {
    private final PlacementRequest request;
    private String backend = "";

    PlacedRequest(long id) {
      request =
          PlacementRequest.newBuilder()
              .setId(id)
              .setService("plain")
              .setTargetLeftMillis(500)
              .setDeadlineLeftMillis(3_000)
              .build();
    }

    @Override
    public void onPlaced(String backendId, int urgency, String backup) {
      backend = backendId;
    }

    @Override
    public void onRejected(long retryAfterMillis, String reason) {}

    @Override
    public void onMigrate(String target, String backup) {}

    @Override
    public void onStopped(long retryAfterMillis, String reason) {}

    @Override
    public PlacementRequest placementRequest() {
      return request;
    }

    @Override
    public int outputTokens() {
      return 0;
    }

    @Override
    public String backend() {
      return backend;
    }

    @Override
    public String backup() {
      return "";
    }

    @Override
    public @Nullable String streamVersion() {
      return null;
    }

    @Override
    public Migration migration() {
      return Migration.NONE;
    }
  }

  private static BackendRecord server(String id, String dataCentre) {
    return BackendRecord.newBuilder()
        .setId(id)
        .setService("plain")
        .setDataCentre(dataCentre)
        .setSlots(4)
        .build();
  }

  private void publishServers() {
    link.handle(
        "control-1",
        SchedulerView.newBuilder()
            .setTerm(3)
            .setVersion(1)
            .addBackends(server("e-1", "east"))
            .addBackends(server("w-1", "west"))
            .build());
  }

  private void publish(long revision, String... dataCentres) {
    Evacuation evacuation =
        Evacuation.newBuilder()
            .setRevision(revision)
            .addAllDataCentres(List.of(dataCentres))
            .build();
    link.handle(
        "control-1", SchedulerView.newBuilder().setTerm(3).setEvacuation(evacuation).build());
  }

  private GatewayStatus lastStatus() {
    return sent.stream()
        .filter(Envelope::hasGatewayStatus)
        .map(Envelope::getGatewayStatus)
        .reduce((earlier, later) -> later)
        .orElseThrow();
  }

  @Test
  void a_published_order_is_obeyed_and_acknowledged_at_once() {
    publishServers();
    publish(1, "east");

    assertThat(link.isRefusing("e-1")).isTrue();
    assertThat(link.isRefusing("w-1")).isFalse();
    assertThat(link.isEvacuated(server("e-2", "east"))).isTrue();
    assertThat(lastStatus().getEvacuationRevision()).isEqualTo(1);
    assertThat(shown).containsExactly("east");
  }

  /** Guards against an acknowledgement that was lost and that the scheduler waits for. */
  @Test
  void an_order_that_is_published_again_is_acknowledged_again() {
    publishServers();
    publish(1, "east");
    sent.clear();

    publish(1, "east");

    assertThat(lastStatus().getEvacuationRevision()).isEqualTo(1);
  }

  @Test
  void a_withdrawal_ends_the_order_and_an_earlier_revision_does_not_bring_it_back() {
    publishServers();
    publish(1, "east");
    publish(2);
    publish(1, "east");

    assertThat(link.isRefusing("e-1")).isFalse();
    assertThat(lastStatus().getEvacuationRevision()).isEqualTo(2);
    assertThat(shown).isEmpty();
  }

  @Test
  void in_local_fallback_no_request_is_placed_in_an_evacuated_data_centre() {
    publishServers();
    publish(1, "east");
    link.disconnected("control-1");

    for (long id = 1; id <= 4; id++) {
      PlacedRequest request = new PlacedRequest(id);
      link.requestPlacement(request.placementRequest(), request);
      time.advance(10);
      assertThat(request.backend()).isEqualTo("w-1");
    }
  }

  @Test
  void a_view_of_a_later_scheduler_without_orders_does_not_end_them() {
    publishServers();
    publish(1, "east");

    link.handle("control-2", SchedulerView.newBuilder().setTerm(4).build());

    assertThat(link.isRefusing("e-1")).isTrue();
    assertThat(lastStatus().getEvacuationRevision()).isEqualTo(1);
  }
}
