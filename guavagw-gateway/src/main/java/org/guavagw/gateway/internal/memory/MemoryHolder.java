package org.guavagw.gateway.internal.memory;

/** A connection that holds memory of this entry. Traffic thread only. */
public interface MemoryHolder {
  /** Returns what the connection waits for. */
  Standing standing();

  /**
   * Gives up what the connection holds: an incomplete request is refused as not run, for memory an
   * answer of which something is held here is dropped, so that another backend server may give it,
   * and any other connection is closed. Never called while the standing is {@link
   * Standing#SERVING}.
   */
  void evict(EvictionReason reason);
}
