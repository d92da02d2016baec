package org.guavagw.gateway.internal.quarantine;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What backend servers have answered of late: fingerprints of requests, or parts of prompts.
 *
 * <p>Invariant: holds at most {@link #MAX_IDS} ids; those that were answered longest ago are
 * forgotten first. Not thread-safe.
 */
final class RecentAnswers {
  /** How long a request counts as sound after an answer; a new version may change that. */
  static final Duration MEMORY = Duration.ofSeconds(60);

  private static final int MAX_IDS = 10_000;

  private final Map<String, Long> lastNanos =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_IDS;
        }
      };

  void add(String id, long nowNanos) {
    lastNanos.put(id, nowNanos);
  }

  boolean contains(String id, long nowNanos) {
    Long last = lastNanos.get(id);
    return last != null && nowNanos - last < MEMORY.toNanos();
  }
}
