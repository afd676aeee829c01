package org.curranthaven.internal.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.curranthaven.internal.transport.wire.PromptPart;

/**
 * Prompt parts that a backend server processed recently and may therefore hold in its prompt cache.
 * The least recently used parts are evicted. Not thread-safe.
 */
final class PromptPartCache {
  private static final int MAX_PARTS = 512;

  private final Map<String, Integer> tokensById =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
          return size() > MAX_PARTS;
        }
      };

  void add(List<PromptPart> parts) {
    for (PromptPart part : parts) {
      tokensById.put(part.getId(), part.getTokens());
    }
  }

  /** Returns the number of tokens in the longest sequence of leading parts that may be cached. */
  int cachedPrefixTokens(List<PromptPart> parts) {
    int cachedTokens = 0;
    for (PromptPart part : parts) {
      if (!tokensById.containsKey(part.getId())) {
        break;
      }
      cachedTokens += part.getTokens();
    }
    return cachedTokens;
  }
}
