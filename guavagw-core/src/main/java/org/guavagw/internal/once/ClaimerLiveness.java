package org.guavagw.internal.once;

/** Says whether the entry that made a request id is gone. Implementations are thread-safe. */
@FunctionalInterface
public interface ClaimerLiveness {
  /** Whether the entry is known to have ended. */
  boolean hasEnded(String entry);
}
