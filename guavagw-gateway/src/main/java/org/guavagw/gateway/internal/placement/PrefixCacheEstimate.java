package org.guavagw.gateway.internal.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.guavagw.gateway.spi.PromptPart;

/**
 * Estimates which prompt parts a backend server has cached, from the prompts this entry sent to it.
 *
 * <p>Invariant: the parts together stay within the token limit; the least recently used are evicted
 * first. Not thread-safe.
 */
final class PrefixCacheEstimate {
  private final long maxTokens;
  private final Map<String, Integer> tokensByPart = new LinkedHashMap<>(64, 0.75f, true);
  private long tokens;

  PrefixCacheEstimate(long maxTokens) {
    this.maxTokens = maxTokens;
  }

  /** Returns the tokens in the longest run of leading prompt parts that are cached. */
  int cachedTokens(String model, List<PromptPart> prompt) {
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
      if (tokensByPart.put(key(model, part), part.tokens()) == null) {
        tokens += part.tokens();
      }
    }
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
