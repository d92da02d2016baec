package org.guavagw.internal.billing;

/**
 * Says which lives of entries have ended. A wrong answer costs the entry its open bills at their
 * actual amount but never doubles one. Implementations are thread-safe.
 */
@FunctionalInterface
public interface EntryLiveness {
  /** Whether this life of the entry is over, as far as the member list tells. */
  boolean hasEnded(String entry, long incarnation);
}
