package org.curranthaven.internal.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.curranthaven.api.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class DeploymentTest {
  private static final Path DEPLOYMENTS = Path.of("deploy/deployments");

  @TempDir Path folder;

  @Test
  void every_deployment_file_of_the_repository_is_valid() throws IOException {
    List<Path> files;
    try (Stream<Path> listing = Files.list(DEPLOYMENTS)) {
      files = listing.toList();
    }

    assertThat(files).hasSize(7);
    assertThat(files)
        .allSatisfy(file -> assertThat(Deployment.read(file)).isInstanceOf(Outcome.Success.class));
  }

  @Test
  void an_unknown_key_is_rejected_with_its_line() throws IOException {
    String text = Files.readString(DEPLOYMENTS.resolve("drive.jsonc"));
    Path file = folder.resolve("deployment.jsonc");
    Files.writeString(file, text.replace("\"placementMillis\"", "\"placementSeconds\""));

    Outcome<Deployment> outcome = Deployment.read(file);

    assertThat(outcome).isInstanceOf(Outcome.Failed.class);
    assertThat(((Outcome.Failed<Deployment>) outcome).failure().message())
        .contains("line 5")
        .contains("placementSeconds");
  }

  @Test
  void a_deployment_without_engines_is_rejected() throws IOException {
    String text = Files.readString(DEPLOYMENTS.resolve("drive.jsonc"));
    Path file = folder.resolve("deployment.jsonc");
    Files.writeString(file, text.replace("\"count\": 8", "\"count\": 0"));

    assertThat(((Outcome.Failed<Deployment>) Deployment.read(file)).failure().message())
        .contains("engines.count");
  }
}
