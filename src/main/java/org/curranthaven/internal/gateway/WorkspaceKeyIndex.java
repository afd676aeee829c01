package org.curranthaven.internal.gateway;

import java.util.HashMap;
import java.util.Map;
import org.curranthaven.api.Configuration;
import org.curranthaven.api.Workspace;
import org.jspecify.annotations.Nullable;

/** Finds the workspace of a bearer key. Thread-safe. */
final class WorkspaceKeyIndex {
  private static final String BEARER = "Bearer ";

  private volatile Index index = new Index(-1, Map.of());

  private record Index(long revision, Map<String, Workspace> byKeyHash) {}

  /** Returns the workspace whose key the header holds, or null. */
  @Nullable Workspace findWorkspace(Configuration configuration, @Nullable String authorization) {
    if (authorization == null || !authorization.startsWith(BEARER)) {
      return null;
    }
    String hash = Hashes.sha256Hex(authorization.substring(BEARER.length()).strip());
    return indexOf(configuration).byKeyHash().get(hash);
  }

  private Index indexOf(Configuration configuration) {
    Index current = index;
    if (current.revision() == configuration.revision()) {
      return current;
    }
    Map<String, Workspace> byKeyHash = new HashMap<>();
    configuration.workspaces().values().forEach(w -> byKeyHash.put(w.keySha256(), w));
    Index rebuilt = new Index(configuration.revision(), byKeyHash);
    index = rebuilt;
    return rebuilt;
  }
}
