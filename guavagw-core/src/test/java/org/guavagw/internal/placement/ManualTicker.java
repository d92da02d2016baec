package org.guavagw.internal.placement;

import com.google.common.base.Ticker;
import java.time.Duration;

final class ManualTicker extends Ticker {
  private long nanos;

  @Override
  public long read() {
    return nanos;
  }

  void advance(Duration by) {
    nanos += by.toNanos();
  }
}
