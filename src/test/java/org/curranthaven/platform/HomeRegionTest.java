package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against requests whose bodies reach a backend server in a region that the route or the
 * workspace does not allow. The gateway and the data centre "here" are in the region "north", the
 * data centre "there" is in "south".
 */
@Timeout(120)
class HomeRegionTest extends RoutedFleetFixture {
  private static final int REQUESTS = 30;

  private final List<FakeBackend> backends = new ArrayList<>();
  private final AtomicBoolean southFails = new AtomicBoolean();

  @AfterEach
  void closeBackends() throws IOException {
    for (FakeBackend backend : backends) {
      backend.close();
    }
  }

  private FakeBackend north() {
    return backends.get(0);
  }

  private FakeBackend south() {
    return backends.get(1);
  }

  @BeforeEach
  void startBackends() throws Exception {
    startBackend("here", new AtomicBoolean());
    startBackend("there", southFails);
  }

  private void startBackend(String dataCentre, AtomicBoolean fails) throws Exception {
    FakeBackend backend =
        new FakeBackend(
            (request, connection) ->
                FakeBackend.write(
                    connection, FakeBackend.response(request, fails.get() ? 500 : 200, "page")));
    backends.add(backend);
    String body =
        """
        {"service":"plain","address":"%s","zone":"%s","version":"v1","slots":40,"state":"ready",
         "coldLeftMs":0,"seq":1}
        """
            .formatted(backend.address(), dataCentre);
    BoundedWait.until(
        "control host accepts the registration of i-" + dataCentre,
        () -> isAccepted("/api/runners/i-" + dataCentre, body));
  }

  private void restrict(String routeRegions, String workspaceRegions) throws Exception {
    putCatalog(
        restricted(
            restricted(CATALOG.formatted(2), "pages", routeRegions), "t1", workspaceRegions));
  }

  private static String restricted(String catalog, String name, String regions) {
    String member = "{\"name\":\"" + name + "\",";
    return catalog.replace(member, member + "\"allowedRegions\":" + regions + ",");
  }

  private List<Integer> sendPages() throws Exception {
    List<Integer> statuses = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      statuses.add(status(sendRawRequest("/pages/1", "")));
    }
    return statuses;
  }

  @Test
  void requests_reach_only_servers_in_the_regions_that_route_and_workspace_allow()
      throws Exception {
    restrict("[\"north\",\"south\"]", "[\"south\"]");

    assertThat(sendPages()).containsOnly(200);

    assertThat(north().received()).isEmpty();
    assertThat(south().received()).hasSize(REQUESTS);
  }

  @Test
  void a_retry_stays_in_the_allowed_region() throws Exception {
    restrict("[\"south\"]", "[]");
    southFails.set(true);

    assertThat(sendPages()).doesNotContain(200);

    assertThat(north().received()).isEmpty();
    assertThat(south().received()).isNotEmpty();
  }

  @Test
  void a_request_that_no_region_may_serve_is_rejected_at_once_with_a_code_of_its_own()
      throws Exception {
    restrict("[\"south\"]", "[\"north\"]");

    String response = sendRawRequest("/pages/1", "");

    assertThat(status(response)).isEqualTo(503);
    assertThat(response).contains("2007");
    assertThat(north().received()).isEmpty();
    assertThat(south().received()).isEmpty();
  }

  @Test
  void requests_without_restriction_use_every_region() throws Exception {
    restrict("[]", "[]");

    assertThat(sendPages()).containsOnly(200);

    assertThat(north().received()).isNotEmpty();
  }
}
