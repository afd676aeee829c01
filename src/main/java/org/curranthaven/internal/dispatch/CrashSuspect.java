package org.curranthaven.internal.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.curranthaven.internal.transport.wire.PromptPart;

/** What a crash of a backend server may be attributed to. */
sealed interface CrashSuspect {
  /** A part of prompts for one service; another service's engines may not crash on it. */
  record Part(String service, String part) implements CrashSuspect {}

  /**
   * A request that may come again under another id.
   *
   * @param workspace workspace of its caller, so that nobody can have the requests of others
   *     blocked; empty for none
   * @param fingerprint the same each time that the request comes
   */
  record Request(String service, String workspace, long fingerprint) implements CrashSuspect {}

  /** Returns what crashes under the request may be attributed to. */
  static List<CrashSuspect> of(PlacementRequest request) {
    List<CrashSuspect> suspects = new ArrayList<>(partsOf(request));
    if (request.getFingerprint() != 0) {
      suspects.add(requestOf(request));
    }
    return suspects;
  }

  /** Returns the request itself as a suspect. */
  static Request requestOf(PlacementRequest request) {
    return new Request(request.getService(), request.getWorkspace(), request.getFingerprint());
  }

  /** Returns the parts of the prompt that crashes may be attributed to. */
  static List<Part> partsOf(PlacementRequest request) {
    List<PromptPart> parts = request.getPartsList();
    // The last part belongs to the request or its session alone: blocking it would save no engine
    // from other requests.
    return parts.stream()
        .limit(Math.max(0, parts.size() - 1))
        .map(part -> new Part(request.getService(), part.getId()))
        .toList();
  }
}
