package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import org.curranthaven.internal.dispatch.BackendRegistry;
import org.curranthaven.internal.relay.ControlRequest;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.junit.jupiter.api.Test;

/**
 * Guards against registrations of another writer, which lack a field or have one of another type,
 * and name a backend server that registers itself.
 */
class ForeignRegistrationTest {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String REGISTRATION =
      """
      {"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","slots":4,"state":"ready",
       "coldLeftMs":0,"seq":3,"born":100,"stage":"colocated",
       "models":[{"name":"m","version":1,"adapters":[]}]}
      """;

  /** A value of each JSON type; each field accepts one of them at most. */
  private static final List<String> VALUES =
      List.of("null", "true", "7.5", "-7", "\"\"", "\"text\"", "[]", "{}", "[{}]", "[7]");

  private final BackendRegistry registry = new BackendRegistry();

  private static ControlRequest read(JsonNode registration) throws Exception {
    return ControlTranslation.read(
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.PUT,
            "/api/runners/i-1",
            Unpooled.wrappedBuffer(JSON.writeValueAsBytes(registration))));
  }

  private static ObjectNode registration() throws Exception {
    return (ObjectNode) JSON.readTree(REGISTRATION);
  }

  private static List<String> fields() throws Exception {
    List<String> names = new ArrayList<>();
    registration().fieldNames().forEachRemaining(names::add);
    return names;
  }

  private void apply(JsonNode registration, long nowMillis) throws Exception {
    if (read(registration) instanceof ControlRequest.Register register) {
      BackendRecord changed = registry.register(register.backend(), nowMillis);
      if (changed != null) {
        registry.earlierStarts(changed).forEach(id -> registry.remove(id, nowMillis));
      }
    }
  }

  private void assertOnlyTheSoundOne(String trouble) {
    assertThat(registry.all())
        .as(trouble)
        .singleElement()
        .satisfies(
            server -> {
              assertThat(server.getId()).isEqualTo("i-1@100");
              assertThat(server.getSoftwareVersion()).isEqualTo("v1");
              assertThat(server.getService()).isEqualTo("s");
              assertThat(server.getDataCentre()).isEqualTo("a");
              assertThat(server.getAddress()).isEqualTo("10.0.0.1:80");
              assertThat(server.getLeaving()).isFalse();
            });
  }

  @Test
  void a_registration_that_lacks_a_field_adds_no_backend_server_beside_a_sound_one()
      throws Exception {
    for (String field : fields()) {
      apply(registration(), 0);
      apply(registration().without(field), 10);
      assertOnlyTheSoundOne("without " + field);
    }
  }

  @Test
  void a_registration_with_a_field_of_another_type_changes_nothing() throws Exception {
    for (String field : fields()) {
      JsonNode own = registration().get(field);
      for (String value : VALUES) {
        JsonNode other = JSON.readTree(value);
        if (own.getNodeType() == other.getNodeType() && value.matches("-7|\"text\"|\\[]")) {
          continue;
        }
        ObjectNode foreign = registration().put("seq", 9);
        foreign.set(field, other);
        assertThat(read(foreign))
            .as(field + " as " + value)
            .isInstanceOf(ControlRequest.Invalid.class);
      }
    }
  }

  @Test
  void a_sound_registration_replaces_one_that_another_writer_sent_before_it() throws Exception {
    apply(registration().without("born"), 0);
    apply(registration(), 10);

    assertOnlyTheSoundOne("registered after the other writer");
  }
}
