package org.curranthaven.internal.consensus;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.curranthaven.api.Outcome;
import org.curranthaven.internal.transport.wire.Voter;
import org.curranthaven.internal.transport.wire.VoterSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a system of which only a part was created, so that it never takes a change. */
class GroupCreationTest {
  private static final int GROUPS = 3;
  private static final VoterSet VOTERS =
      VoterSet.newBuilder().addVoters(Voter.newBuilder().setIdentity("a")).build();

  @TempDir Path path;

  private DataFolder open() {
    return ((Outcome.Success<DataFolder>) DataFolder.open(path)).value();
  }

  private void createPart(DataFolder folder) throws IOException {
    // The place of the last group is taken by a file, as if there were no room for it.
    Path taken = Files.createFile(path.resolve("group-2"));
    assertThatThrownBy(() -> GroupCreation.create(folder, GROUPS, VOTERS))
        .isInstanceOf(IOException.class);
    Files.deleteIfExists(taken);
  }

  @Test
  void all_groups_are_created() throws IOException {
    try (DataFolder folder = open()) {
      GroupCreation.create(folder, GROUPS, VOTERS);
    }

    try (DataFolder folder = open()) {
      assertThat(folder.groupIds()).containsExactly(0, 1, 2);
      for (int group = 0; group < GROUPS; group++) {
        try (GroupStorage storage = GroupStorage.open(folder.groupFolder(group))) {
          assertThat(storage.loadedState().entries()).hasSize(1);
          assertThat(storage.loadedState().term()).isEqualTo(1);
        }
      }
    }
  }

  @Test
  void none_exists_after_a_failure_and_all_after_the_next_attempt() throws IOException {
    try (DataFolder folder = open()) {
      createPart(folder);
      assertThat(folder.groupIds()).isEmpty();

      GroupCreation.create(folder, GROUPS, VOTERS);
      assertThat(folder.groupIds()).hasSize(GROUPS);
    }
  }

  @Test
  void none_exists_after_a_host_ended_before_all_were_created() throws IOException {
    try (DataFolder folder = open()) {
      folder.beginGroups();
      GroupStorage.open(folder.groupFolder(0)).close();
      Files.write(folder.groupFolder(0).resolve("log-000000000001"), new byte[] {1, 2, 3});
    }

    try (DataFolder folder = open()) {
      assertThat(folder.groupIds()).isEmpty();
    }
  }

  /** Guards against folders that earlier software left when its disk was full. */
  @Test
  void a_group_in_which_nothing_was_stored_counts_as_none() throws IOException {
    try (DataFolder folder = open()) {
      GroupStorage.open(folder.groupFolder(0)).close();
      assertThat(folder.groupIds()).containsExactly(0);
    }

    try (DataFolder folder = open()) {
      assertThat(folder.groupIds()).isEmpty();
    }
  }
}
