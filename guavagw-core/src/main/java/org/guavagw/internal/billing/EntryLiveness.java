package org.guavagw.internal.billing;

/**
 * Tells which incarnations of entries have ended. If an entry is wrongly reported as ended, its
 * requests without a bill are charged as of unknown outcome instead of at their actual cost, but no
 * request is billed twice. Implementations are thread-safe.
 */
@FunctionalInterface
public interface EntryLiveness {
  /** Returns whether this incarnation of the entry has ended according to the member list. */
  boolean hasEnded(String entry, long incarnation);
}
