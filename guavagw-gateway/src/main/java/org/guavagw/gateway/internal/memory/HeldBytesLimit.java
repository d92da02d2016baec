package org.guavagw.gateway.internal.memory;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;

/**
 * Limits what several holders hold together: beyond the limit the largest is dropped.
 *
 * <p>Invariant: the total is the sum of all parts, and within the limit whenever a method returns.
 * Confined to one thread.
 */
public final class HeldBytesLimit {
  private final long limitBytes;
  private final Set<Part> parts = new HashSet<>();
  private long totalBytes;

  /** Creates a limit of which nothing is used. */
  public HeldBytesLimit(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /**
   * Returns the part of a new holder, which holds nothing yet.
   *
   * @param drop frees what the holder holds
   */
  public Part newPart(Runnable drop) {
    return new Part(drop);
  }

  private void dropLargestUntilWithinLimit() {
    while (totalBytes > limitBytes) {
      Part largest = parts.stream().max(Comparator.comparingLong(p -> p.bytes)).orElseThrow();
      largest.set(0);
      largest.drop.run();
    }
  }

  /** What one holder holds. */
  public final class Part {
    private final Runnable drop;
    private long bytes;

    private Part(Runnable drop) {
      this.drop = drop;
    }

    /** Sets what is held, which may lead to its drop or that of others. */
    public void set(long newBytes) {
      totalBytes += newBytes - bytes;
      bytes = newBytes;
      if (bytes == 0) {
        parts.remove(this);
      } else {
        parts.add(this);
      }
      dropLargestUntilWithinLimit();
    }
  }
}
