package org.guavagw.gateway.internal.memory;

import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Optional;
import java.util.Set;

/**
 * The one account of what callers hold in this entry.
 *
 * <p>Invariant: the total is the sum of the open shares; it exceeds the limit only by what the
 * policy may not give up. Traffic thread only.
 */
public final class MemoryAccount {
  private final MemoryLimits limits;
  private final EvictionListener listener;
  private final EvictionPolicy policy = new EvictionPolicy();
  private final Set<MemoryShare> shares = Collections.newSetFromMap(new IdentityHashMap<>());
  private long totalBytes;
  private long uses;
  private boolean evicting;

  /** Creates an empty account. */
  public MemoryAccount(MemoryLimits limits, EvictionListener listener) {
    this.limits = limits;
    this.listener = listener;
  }

  /**
   * Opens a share for a new connection, for which another one may be given up; returns empty if the
   * limit is reached and none may.
   */
  public Optional<MemoryShare> open(MemoryHolder holder) {
    if (shares.size() >= limits.connections()) {
      Optional<MemoryShare> chosen = policy.forConnections(shares);
      if (chosen.isEmpty()) {
        return Optional.empty();
      }
      evict(chosen.get(), EvictionReason.CONNECTIONS);
    }
    MemoryShare share = new MemoryShare(this, holder, nextUse());
    shares.add(share);
    return Optional.of(share);
  }

  /** Returns the bytes that all connections hold. */
  public long totalBytes() {
    return totalBytes;
  }

  /** Returns the limit on the bytes that all connections hold. */
  public long limitBytes() {
    return limits.heldBytes();
  }

  long nextUse() {
    return ++uses;
  }

  void remove(MemoryShare share) {
    shares.remove(share);
  }

  void onChange(long change) {
    totalBytes += change;
    if (change < 0 || evicting) {
      return;
    }
    evicting = true;
    try {
      evictUntilWithinLimit();
    } finally {
      evicting = false;
    }
  }

  private void evictUntilWithinLimit() {
    while (totalBytes > limits.heldBytes()) {
      long before = totalBytes;
      Optional<MemoryShare> chosen = policy.forMemory(shares, limits.heldBytes());
      chosen.ifPresent(s -> evict(s, EvictionReason.MEMORY));
      if (totalBytes >= before) {
        return;
      }
    }
  }

  private void evict(MemoryShare share, EvictionReason reason) {
    listener.onEvicted(reason, share.standing(), share.bytes(), totalBytes);
    share.evict(reason);
  }
}
