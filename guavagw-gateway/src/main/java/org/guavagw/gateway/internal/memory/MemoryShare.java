package org.guavagw.gateway.internal.memory;

/** The part of the account that one connection holds. Traffic thread only. */
public final class MemoryShare {
  private final MemoryAccount account;
  private final MemoryHolder holder;
  private long bytes;
  private long lastUse;
  private boolean closing;

  MemoryShare(MemoryAccount account, MemoryHolder holder, long lastUse) {
    this.account = account;
    this.holder = holder;
    this.lastUse = lastUse;
  }

  /** Sets what the connection holds, which may lead to its eviction or that of others. */
  public void set(long newBytes) {
    long change = newBytes - bytes;
    if (change != 0) {
      bytes = newBytes;
      account.onChange(change);
    }
  }

  /** Records that the connection has been used. */
  public void touch() {
    lastUse = account.nextUse();
  }

  /** Ends the share; it must not be used afterwards. */
  public void close() {
    set(0);
    account.remove(this);
  }

  long bytes() {
    return bytes;
  }

  /** Returns a number that is larger the later the connection was used. */
  long lastUse() {
    return lastUse;
  }

  Standing standing() {
    return holder.standing();
  }

  /** Returns whether the connection has been given up for another one. */
  boolean closing() {
    return closing;
  }

  void evict(EvictionReason reason) {
    closing |= reason == EvictionReason.CONNECTIONS;
    holder.evict(reason);
  }
}
