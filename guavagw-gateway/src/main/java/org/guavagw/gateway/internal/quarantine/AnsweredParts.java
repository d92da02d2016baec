package org.guavagw.gateway.internal.quarantine;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The prompt parts with which backend servers have answered requests of late.
 *
 * <p>Invariant: holds at most {@link #MAX_PARTS} parts; those that were answered longest ago are
 * forgotten first. Not thread-safe.
 */
final class AnsweredParts {
  /** How long an answer speaks for its parts; a part may become harmful with a new version. */
  static final Duration MEMORY = Duration.ofSeconds(60);

  private static final int MAX_PARTS = 10_000;

  private final Map<String, Long> lastNanos =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_PARTS;
        }
      };

  void add(String part, long nowNanos) {
    lastNanos.put(part, nowNanos);
  }

  boolean contains(String part, long nowNanos) {
    Long last = lastNanos.get(part);
    return last != null && nowNanos - last < MEMORY.toNanos();
  }
}
