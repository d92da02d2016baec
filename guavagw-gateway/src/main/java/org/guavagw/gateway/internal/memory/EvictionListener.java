package org.guavagw.gateway.internal.memory;

/** Learns of connections that were given up. */
public interface EvictionListener {
  /**
   * Called after the decision and before it takes effect.
   *
   * @param bytes what the connection held
   * @param totalBytes what all connections held
   */
  void onEvicted(EvictionReason reason, Standing standing, long bytes, long totalBytes);
}
