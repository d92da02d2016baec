package org.guavagw.gateway.internal.memory;

/** A connection that holds memory of this entry. Traffic thread only. */
public interface MemoryHolder {
  /** Returns what the connection waits for. */
  Standing standing();

  /**
   * Gives up what the connection holds: an incomplete request is refused as not run, an answer for
   * lack of memory is dropped while its caller has nothing of it, and any other connection is
   * closed. Never called while the standing is {@link Standing#SERVING}.
   */
  void evict(EvictionReason reason);
}
