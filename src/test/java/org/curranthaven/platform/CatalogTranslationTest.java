package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import org.curranthaven.api.Outcome;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.CatalogWorkspace;
import org.curranthaven.internal.catalog.ColdStart;
import org.curranthaven.internal.catalog.HomeRegions;
import org.curranthaven.internal.catalog.Route;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

class CatalogTranslationTest {
  static final String DOCUMENT =
      """
      {"version":7,"routes":[
        {"name":"r-1","host":"Stories.example","pathPrefix":"/a/","kind":"stream","timeoutMs":6000,
         "targetLatencyMs":1500,"priority":0,"service":"s1","attempts":2,"anonymous":false,
         "sticky":true,"resumable":true,"gapTargetMs":180},
        {"name":"r-2","host":"stories.example","pathPrefix":"/a/b/","kind":"idempotent",
         "timeoutMs":3000,"targetLatencyMs":300,"priority":2,
         "backends":[{"service":"s1","weight":0},{"service":"s2","weight":10}],
         "attempts":2,"anonymous":true}],
       "services":[
        {"name":"s1","healthPath":"/health","maxConns":242,"protocol":"h1","tls":false,
         "engine":{"slots":24,"kvCapacity":34360,"stride":4,"moves":true,"backups":true}},
        {"name":"s2","healthPath":"/health","maxConns":100,"protocol":"h1","tls":false}],
       "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
         "idleTimeoutMs":15000},
       "tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1},{"name":"t2","apiKeys":["k3"]}]}
      """;

  private static Outcome<Catalog> decode(String text) {
    return new CatalogTranslation().decode(text.getBytes(StandardCharsets.UTF_8));
  }

  private static Catalog decodeValid(String text) {
    return ((Outcome.Success<Catalog>) decode(text)).value();
  }

  @Test
  void the_route_with_the_longest_prefix_is_chosen() {
    Catalog catalog = decodeValid(DOCUMENT);

    assertThat(catalog.revision()).isEqualTo(7);
    assertThat(catalog.routeFor("stories.example", "/a/b/c").orElseThrow().name()).isEqualTo("r-2");
    assertThat(catalog.routeFor("STORIES.example", "/a/c").orElseThrow().name()).isEqualTo("r-1");
    assertThat(catalog.routeFor("other.example", "/a/c")).isEmpty();
  }

  @Test
  void the_cold_figures_of_a_service_are_decoded_and_a_rate_of_0_switches_them_off() {
    String cold = DOCUMENT.replace("\"maxConns\":242", "\"coldPerS\":%s,\"coldStartS\":1.5");

    assertThat(coldStartOf(decodeValid(cold.formatted("24")), "s1"))
        .isEqualTo(new ColdStart(1.5, 24));
    assertThat(coldStartOf(decodeValid(cold.formatted("0")), "s1")).isNull();
    assertThat(coldStartOf(decodeValid(cold.formatted("24")), "s2")).isNull();
    assertThat(decode(cold.formatted("-1"))).isInstanceOf(Outcome.Failed.class);
  }

  private static @Nullable ColdStart coldStartOf(Catalog catalog, String service) {
    return Objects.requireNonNull(catalog.service(service)).coldStart();
  }

  @Test
  void allowed_regions_of_routes_and_workspaces_are_decoded_and_an_empty_list_allows_any() {
    String document =
        DOCUMENT
            .replace("\"name\":\"r-1\",", "\"name\":\"r-1\",\"allowedRegions\":%s,")
            .replace("\"name\":\"t1\",", "\"name\":\"t1\",\"allowedRegions\":[\"south\"],");
    Catalog catalog = decodeValid(document.formatted("[\"north\",\"south\"]"));
    Route route = catalog.routeFor("stories.example", "/a/c").orElseThrow();
    CatalogWorkspace workspace = Objects.requireNonNull(catalog.workspaceOf("k1"));

    assertThat(route.homeRegions()).isEqualTo(HomeRegions.of(List.of("north", "south")));
    assertThat(route.homeRegions().and(workspace.homeRegions()).names()).containsExactly("south");
    assertThat(
            decodeValid(document.formatted("[]"))
                .routeFor("stories.example", "/a/c")
                .orElseThrow()
                .homeRegions())
        .isEqualTo(HomeRegions.any());
    assertThat(decode(document.formatted("[3]"))).isInstanceOf(Outcome.Failed.class);
    assertThat(decode(document.formatted("\"north\""))).isInstanceOf(Outcome.Failed.class);
  }

  @Test
  void a_service_of_weight_0_gets_no_requests() {
    Catalog catalog = decodeValid(DOCUMENT);

    assertThat(catalog.routeFor("stories.example", "/a/b/").orElseThrow().serviceFor(0))
        .isEqualTo("s2");
  }

  @Test
  void each_key_belongs_to_its_workspace() {
    Catalog catalog = decodeValid(DOCUMENT);

    assertThat(catalog.workspaceOf("k2")).isNotNull();
    assertThat(catalog.workspaceOf("k9")).isNull();
    assertThat(catalog.needsKey(catalog.routeFor("stories.example", "/a/").orElseThrow())).isTrue();
  }

  @Test
  void a_truncated_document_is_invalid() {
    for (int length = 0; length < DOCUMENT.strip().length(); length += 13) {
      assertThat(decode(DOCUMENT.strip().substring(0, length)))
          .as("document truncated to %d characters", length)
          .isInstanceOf(Outcome.Failed.class);
    }
  }

  @Test
  void contradictory_documents_are_invalid() {
    assertThat(
            decode(
                DOCUMENT.replace(
                    "\"service\":\"s1\",\"attempts\"", "\"service\":\"x\",\"attempts\"")))
        .isInstanceOf(Outcome.Failed.class);
    assertThat(decode(DOCUMENT.replace("/a/b/", "/a/"))).isInstanceOf(Outcome.Failed.class);
    assertThat(decode(DOCUMENT.replace("\"weight\":10", "\"weight\":0")))
        .isInstanceOf(Outcome.Failed.class);
    assertThat(decode(DOCUMENT.replace("\"timeoutMs\":3000", "\"timeoutMs\":0")))
        .isInstanceOf(Outcome.Failed.class);
    assertThat(decode(DOCUMENT.replace("\"k3\"", "\"k1\""))).isInstanceOf(Outcome.Failed.class);
  }
}
