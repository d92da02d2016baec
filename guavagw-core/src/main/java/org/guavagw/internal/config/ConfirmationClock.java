package org.guavagw.internal.config;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/** Keeps the moment of the newest confirmation, own or heard from peers. Thread-safe. */
final class ConfirmationClock implements ConfigFreshness {
  private static final Duration CONFIRMATION_TIMEOUT = Duration.ofSeconds(7);
  private static final Duration NEVER = Duration.ofDays(1);

  private final Ticker ticker;
  private final AtomicLong confirmedAtNs;

  ConfirmationClock(Ticker ticker) {
    this.ticker = ticker;
    this.confirmedAtNs = new AtomicLong(ticker.read() - NEVER.toNanos());
  }

  /** Notes a confirmation that is so old. */
  void confirmed(Duration age) {
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
