package org.curranthaven.internal.consensus;

import java.io.IOException;
import java.util.List;
import org.curranthaven.internal.transport.wire.VoterSet;
import org.tinylog.Logger;

/**
 * Creates the consensus groups of a new system in a data folder: all of them or none, also if the
 * disk is full or the host ends meanwhile. A group of which only a part was written would open
 * without voters, and no host would create it again.
 */
final class GroupCreation {
  private GroupCreation() {}

  /**
   * Creates the groups, none of which may be open.
   *
   * @throws IOException if they cannot be stored; none exists then
   */
  static void create(DataFolder folder, int groupCount, VoterSet initialVoters) throws IOException {
    try {
      folder.beginGroups();
      for (int groupId = 0; groupId < groupCount; groupId++) {
        createGroup(folder, groupId, initialVoters);
      }
      folder.commitGroups();
    } catch (IOException e) {
      discard(folder);
      throw e;
    }
  }

  private static void createGroup(DataFolder folder, int groupId, VoterSet initialVoters)
      throws IOException {
    try (GroupStorage storage = GroupStorage.open(folder.groupFolder(groupId))) {
      storage.persist(
          new RaftDecision.AppendEntries(List.of(StoredState.bootstrapEntry(initialVoters))));
      storage.persist(new RaftDecision.SaveHardState(1, ""));
      storage.sync();
    }
  }

  private static void discard(DataFolder folder) {
    try {
      folder.discardGroups();
    } catch (IOException e) {
      // The next attempt or start discards them first.
      Logger.warn("unfinished groups cannot be removed: {}", e.getMessage());
    }
  }
}
