package org.guavagw.internal.lease;

import com.google.common.base.Ticker;

/**
 * A lease acquired by this process. Only renewals extend it; once lost it is never safe again.
 * Thread-safe.
 */
final class HeldLease implements Lease {
  private final String name;
  private final long fencingNumber;
  private final Ticker ticker;
  private volatile long safeUntilNanos;
  private volatile boolean lost;

  HeldLease(String name, long fencingNumber, Ticker ticker, long safeUntilNanos) {
    this.name = name;
    this.fencingNumber = fencingNumber;
    this.ticker = ticker;
    this.safeUntilNanos = safeUntilNanos;
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public long fencingNumber() {
    return fencingNumber;
  }

  @Override
  public boolean isSafe() {
    return !lost && ticker.read() - safeUntilNanos < 0;
  }

  void extendUntil(long nanos) {
    safeUntilNanos = nanos;
  }

  void markLost() {
    lost = true;
  }
}
