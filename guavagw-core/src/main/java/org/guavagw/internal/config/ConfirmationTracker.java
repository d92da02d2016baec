package org.guavagw.internal.config;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/** Keeps the time of the newest confirmation, by this entry or its peers. Thread-safe. */
final class ConfirmationTracker implements ConfigFreshness {
  private static final Duration CONFIRMATION_TIMEOUT = Duration.ofSeconds(7);
  private static final Duration NEVER = Duration.ofDays(1);

  private final Ticker ticker;
  private final AtomicLong confirmedAtNs;

  ConfirmationTracker(Ticker ticker) {
    this.ticker = ticker;
    this.confirmedAtNs = new AtomicLong(ticker.read() - NEVER.toNanos());
  }

  /** Records a confirmation of a certain age. */
  void onConfirmed(Duration age) {
    long atNs = ticker.read() - age.toNanos();
    confirmedAtNs.accumulateAndGet(atNs, (a, b) -> a - b >= 0 ? a : b);
  }

  @Override
  public Duration confirmedAge() {
    return Duration.ofNanos(ticker.read() - confirmedAtNs.get());
  }

  @Override
  public boolean isConfirmed() {
    return confirmedAge().compareTo(CONFIRMATION_TIMEOUT) < 0;
  }
}
