package org.curranthaven.internal.gateway;

import java.util.HashMap;
import java.util.Map;
import org.curranthaven.api.Configuration;
import org.curranthaven.api.Workspace;
import org.jspecify.annotations.Nullable;

/** Finds workspaces by bearer key, with an index that is rebuilt per revision. Thread-safe. */
final class WorkspaceKeyIndex {
  private static final String BEARER_PREFIX = "Bearer ";

  private volatile Index index = new Index(-1, Map.of());

  private record Index(long revision, Map<String, Workspace> byKeyHash) {}

  /** Returns the workspace of the bearer key in the Authorization header, or null. */
  @Nullable Workspace findWorkspace(Configuration configuration, @Nullable String authorization) {
    if (authorization == null || !authorization.startsWith(BEARER_PREFIX)) {
      return null;
    }
    String hash = Hashes.sha256Hex(authorization.substring(BEARER_PREFIX.length()).strip());
    return indexOf(configuration).byKeyHash().get(hash);
  }

  private Index indexOf(Configuration configuration) {
    Index latest = index;
    if (latest.revision() == configuration.revision()) {
      return latest;
    }
    Map<String, Workspace> byKeyHash = new HashMap<>();
    configuration
        .workspaces()
        .values()
        .forEach(workspace -> byKeyHash.put(workspace.keySha256(), workspace));
    Index rebuilt = new Index(configuration.revision(), byKeyHash);
    index = rebuilt;
    return rebuilt;
  }
}
