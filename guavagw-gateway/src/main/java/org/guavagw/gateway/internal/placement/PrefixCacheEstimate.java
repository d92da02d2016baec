package org.guavagw.gateway.internal.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.guavagw.gateway.spi.PromptPart;

/**
 * Estimates which prompt parts a backend server has cached, from the prompts this entry sent to it
 * and the number of tokens that others sent.
 *
 * <p>Invariant: the parts together stay within the token limit; the least recently used are evicted
 * first. Not thread-safe.
 */
final class PrefixCacheEstimate {
  private final Map<String, Integer> tokensByPart = new LinkedHashMap<>(64, 0.75f, true);
  private long maxTokens;
  private long tokens;
  private long unknownParts;

  PrefixCacheEstimate(long maxTokens) {
    this.maxTokens = maxTokens;
  }

  /** Changes the limit, as running requests need more or less of the memory. */
  void resize(long limit) {
    maxTokens = limit;
    evict();
  }

  /** Returns the tokens in the longest run of leading prompt parts that are cached. */
  int cachedTokens(String model, List<PromptPart> prompt) {
    if (tokensByPart.isEmpty()) {
      return 0;
    }
    int cached = 0;
    for (PromptPart part : prompt) {
      if (!tokensByPart.containsKey(key(model, part))) {
        break;
      }
      cached += part.tokens();
    }
    return cached;
  }

  void remember(String model, List<PromptPart> prompt) {
    for (PromptPart part : prompt) {
      put(key(model, part), part.tokens());
    }
    evict();
  }

  /** Accounts for prompts of other entries, whose parts are not known here. */
  void addUnknown(int unknownTokens) {
    if (!tokensByPart.isEmpty() && unknownTokens > 0) {
      put("?" + unknownParts++, unknownTokens);
      evict();
    }
  }

  private void put(String key, int partTokens) {
    Integer earlier = tokensByPart.put(key, partTokens);
    tokens += partTokens - (earlier == null ? 0 : earlier);
  }

  private void evict() {
    Iterator<Integer> oldest = tokensByPart.values().iterator();
    while (tokens > maxTokens && oldest.hasNext()) {
      tokens -= oldest.next();
      oldest.remove();
    }
  }

  private static String key(String model, PromptPart part) {
    return model + '/' + part.id();
  }
}
