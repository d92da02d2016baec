package org.guavagw.internal.once;

/** Tells whether the entry that created a request id has ended. Implementations are thread-safe. */
@FunctionalInterface
public interface ClaimerLiveness {
  /** Returns whether the entry is known to have ended. */
  boolean hasEnded(String entry);
}
