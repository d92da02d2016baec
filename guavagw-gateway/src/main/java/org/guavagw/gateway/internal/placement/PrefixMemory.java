package org.guavagw.gateway.internal.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.guavagw.gateway.spi.PromptPart;

/**
 * Which prompt parts a backend server probably holds, judged by what this entry sent to it.
 *
 * <p>Invariant: the parts remembered fit into the tokens given; the least recently used go first.
 * Not thread-safe.
 */
final class PrefixMemory {
  private final long maxTokens;
  private final Map<String, Integer> tokensByPart = new LinkedHashMap<>(64, 0.75f, true);
  private long tokens;

  PrefixMemory(long maxTokens) {
    this.maxTokens = maxTokens;
  }

  /** Tokens of the prompt that need not be read again: its leading parts that are all held. */
  int heldTokens(String model, List<PromptPart> prompt) {
    int held = 0;
    for (PromptPart part : prompt) {
      if (!tokensByPart.containsKey(key(model, part))) {
        break;
      }
      held += part.tokens();
    }
    return held;
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
