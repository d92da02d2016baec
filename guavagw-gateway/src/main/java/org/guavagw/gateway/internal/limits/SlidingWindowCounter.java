package org.guavagw.gateway.internal.limits;

import java.time.Duration;
import java.util.Arrays;

/**
 * Counts events in a sliding window of ten buckets.
 *
 * <p>Invariant: the sum covers at least the window and at most one bucket more. Not thread-safe.
 */
final class SlidingWindowCounter {
  private static final int BUCKETS = 10;

  private final long bucketNanos;
  private final long[] counts = new long[BUCKETS + 1];
  private long newestBucket = Long.MIN_VALUE;

  SlidingWindowCounter(Duration window) {
    this.bucketNanos = window.toNanos() / BUCKETS;
  }

  void add(long nowNanos) {
    advance(nowNanos);
    counts[index(newestBucket)]++;
  }

  long sum(long nowNanos) {
    advance(nowNanos);
    long sum = 0;
    for (long count : counts) {
      sum += count;
    }
    return sum;
  }

  private void advance(long nowNanos) {
    long bucket = Math.floorDiv(nowNanos, bucketNanos);
    if (newestBucket == Long.MIN_VALUE || bucket - newestBucket > BUCKETS) {
      Arrays.fill(counts, 0);
      newestBucket = bucket;
      return;
    }
    while (newestBucket < bucket) {
      newestBucket++;
      counts[index(newestBucket)] = 0;
    }
  }

  private static int index(long bucket) {
    return (int) Math.floorMod(bucket, (long) BUCKETS + 1);
  }
}
