package org.curranthaven.internal.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.fail;

import java.nio.file.Path;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.ResultCode;
import org.junit.jupiter.api.Test;

/** Guards against settings of a routed host that are accepted though they are faulty. */
class RoutedSettingsTest {
  private static final String GATEWAY =
      """
      {
        "name": "gateway-1", // unique in the fleet
        "dataCentre": "a",
        "peerAddress": "10.0.0.1:7200",
        "callerAddress": "10.0.0.1:8740",
        "readyAddress": null,
        "contacts": ["10.0.0.2:8748", "10.0.0.3:8748"],
        "toleratedLosses": 2,
        "drainSeconds": 8,
        "retryRatio": 0.2,
        "retrySlack": 56.5,
        "retryWindowSeconds": 10,
        "registrationMillis": 1200
      }
      """;

  private static RoutedSettings valid(String text) {
    return switch (RoutedSettings.of(text)) {
      case Outcome.Success<RoutedSettings> success -> success.value();
      case Outcome.Failed<RoutedSettings> failed -> fail(failed.failure().fullMessage());
    };
  }

  private static String messageOf(Outcome<RoutedSettings> outcome) {
    return switch (outcome) {
      case Outcome.Success<RoutedSettings> success -> fail("accepted: " + success.value());
      case Outcome.Failed<RoutedSettings> failed -> {
        assertThat(failed.failure().code()).isEqualTo(ResultCode.SETTINGS_INVALID);
        yield failed.failure().message();
      }
    };
  }

  @Test
  void features_of_the_protocol_are_an_optional_list_of_strings() {
    String stated = GATEWAY.replace("1200", "1200, \"protocolFeatures\": [\"a\", \"b\"]");
    String empty = GATEWAY.replace("1200", "1200, \"protocolFeatures\": []");
    String faulty = GATEWAY.replace("1200", "1200, \"protocolFeatures\": [1]");

    assertThat(valid(stated).protocolFeatures()).containsExactly("a", "b");
    assertThat(valid(empty).protocolFeatures()).isEmpty();
    assertThat(valid(GATEWAY).protocolFeatures()).isEmpty();
    assertThat(messageOf(RoutedSettings.of(faulty))).contains("protocolFeatures");
  }

  @Test
  void the_bound_on_bodies_is_optional_and_checked() {
    String stated = GATEWAY.replace("1200", "1200, \"bodyMemoryBytes\": 1000000");
    String faulty = GATEWAY.replace("1200", "1200, \"bodyMemoryBytes\": -1");

    assertThat(valid(stated).bodyMemoryBytes()).isEqualTo(1_000_000);
    assertThat(valid(GATEWAY).bodyMemoryBytes()).isZero();
    assertThat(messageOf(RoutedSettings.of(faulty))).contains("bodyMemoryBytes");
  }

  @Test
  void each_entry_reaches_the_settings() {
    RoutedSettings settings = valid(GATEWAY);

    assertThat(settings.name()).isEqualTo("gateway-1");
    assertThat(settings.isGateway()).isTrue();
    assertThat(settings.isControl()).isFalse();
    assertThat(settings.readyAddress()).isNull();
    assertThat(settings.contactPeerAddresses()).containsExactly("10.0.0.2:7200", "10.0.0.3:7200");
    assertThat(settings.firstStart()).isFalse();
    assertThat(settings.votersWanted()).isEqualTo(5);
    assertThat(settings.drainMillis()).isEqualTo(8_000);
    assertThat(settings.retryRatio()).isEqualTo(0.2);
    assertThat(settings.retrySlack()).isEqualTo(56.5);
    assertThat(settings.retryWindowMillis()).isEqualTo(10_000);
    assertThat(settings.registrationMillis()).isEqualTo(1_200);
  }

  @Test
  void a_control_host_names_its_data_folder_and_whether_the_fleet_starts_first() {
    RoutedSettings settings =
        valid(
            GATEWAY.replace(
                "\"toleratedLosses\"",
                "\"dataFolder\": \"/data\", \"firstStart\": true, \"toleratedLosses\""));

    assertThat(settings.isControl()).isTrue();
    assertThat(settings.firstStart()).isTrue();
  }

  @Test
  void the_bound_for_cold_servers_is_optional_and_checked() {
    String bound = "\"coldServerExcess\": 1.5, \"coldServerSlack\": 5, \"toleratedLosses\"";

    assertThat(valid(GATEWAY).coldServerBound()).isNull();
    assertThat(valid(GATEWAY.replace("\"toleratedLosses\"", bound)).coldServerBound())
        .isEqualTo(new ColdServerBound(1.5, 5));
    assertThat(
            messageOf(
                RoutedSettings.of(
                    GATEWAY.replace("\"toleratedLosses\"", bound.replace("1.5", "0.5")))))
        .contains("coldServerExcess is 0.5");
  }

  @Test
  void the_regions_of_data_centres_are_optional_and_checked() {
    String regions = "\"regions\": {\"a\": \"north\", \"b\": \"south\"}, \"toleratedLosses\"";
    String faulty = regions.replace("\"south\"", "3");

    assertThat(valid(GATEWAY).regions().byDataCentre()).isEmpty();
    assertThat(valid(GATEWAY.replace("\"toleratedLosses\"", regions)).regions().byDataCentre())
        .containsEntry("a", "north")
        .containsEntry("b", "south");
    assertThat(messageOf(RoutedSettings.of(GATEWAY.replace("\"toleratedLosses\"", faulty))))
        .contains("must be an object of non-empty strings");
  }

  @Test
  void all_faults_are_told_with_their_lines() {
    String text =
        GATEWAY
            .replace("\"drainSeconds\": 8", "\"drainMillis\": 8000")
            .replace("\"toleratedLosses\": 2", "\"toleratedLosses\": 4")
            .replace("10.0.0.3:8748", "control-3:8748");

    assertThat(messageOf(RoutedSettings.of(text)))
        .contains("settings:7: contacts:", "settings:8: toleratedLosses:")
        .contains("settings:9: drainMillis: unknown key. Write drainSeconds");
  }

  @Test
  void a_value_of_another_type_is_a_fault() {
    assertThat(
            messageOf(
                RoutedSettings.of(GATEWAY.replace("retryRatio\": 0.2", "retryRatio\": \"0.2\""))))
        .contains("retryRatio: must be a number");
    assertThat(messageOf(RoutedSettings.of(GATEWAY.replace("\"10.0.0.1:8740\"", "8740"))))
        .contains("callerAddress: must be a string");
    assertThat(messageOf(RoutedSettings.of(GATEWAY.replace("1200", "0"))))
        .contains("registrationMillis: must be a whole number from 1");
  }

  @Test
  void a_missing_entry_and_a_key_that_occurs_twice_are_faults() {
    assertThat(messageOf(RoutedSettings.of(GATEWAY.replace("\"dataCentre\": \"a\",", ""))))
        .contains("dataCentre: the key is missing");
    assertThat(messageOf(RoutedSettings.of(GATEWAY.replace("\"dataCentre\"", "\"name\""))))
        .contains("name: the key occurs more than once");
  }

  @Test
  void a_file_that_is_no_object_or_cannot_be_read_is_a_fault() {
    assertThat(messageOf(RoutedSettings.of("[]"))).contains("does not hold a JSON object");
    assertThat(messageOf(RoutedSettings.of("{\n \"name\": oops }")))
        .contains("settings:2: invalid");
    assertThat(messageOf(RoutedSettings.read(Path.of("/nowhere/host.jsonc"))))
        .contains("cannot be read");
  }
}
