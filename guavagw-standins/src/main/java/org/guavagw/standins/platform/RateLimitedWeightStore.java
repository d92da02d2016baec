package org.guavagw.standins.platform;

import com.google.common.base.Ticker;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.guavagw.config.VersionRef;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.WeightStore;
import org.guavagw.standins.fault.CallFaultInjector;

/** A weight store that grants a limited number of downloads per sliding window. Thread-safe. */
public final class RateLimitedWeightStore implements WeightStore {
  private final Ticker ticker;
  private final int limit;
  private final long windowNanos;
  private final Deque<Long> recent = new ArrayDeque<>();
  private final List<Download> granted = new ArrayList<>();
  private final CallFaultInjector faults = new CallFaultInjector(0);

  /** Creates a store that grants {@code limit} downloads per window. */
  public RateLimitedWeightStore(Ticker ticker, int limit, Duration window) {
    this.ticker = ticker;
    this.limit = limit;
    this.windowNanos = window.toNanos();
  }

  /** Returns the faults, which can be set. */
  public CallFaultInjector faults() {
    return faults;
  }

  /** Returns the granted downloads in order. */
  public synchronized List<Download> granted() {
    return List.copyOf(granted);
  }

  @Override
  public Either<PlatformFailure, Void> reserveDownload(VersionRef version, String backendServer) {
    return faults.call(() -> reserve(new Download(version, backendServer)));
  }

  private synchronized Either<PlatformFailure, Void> reserve(Download download) {
    long now = ticker.read();
    while (!recent.isEmpty() && now - recent.getFirst() >= windowNanos) {
      recent.removeFirst();
    }
    if (recent.size() >= limit) {
      return Either.left(PlatformFailure.notApplied("rate limit exceeded"));
    }
    recent.addLast(now);
    granted.add(download);
    return Either.right(null);
  }

  /** A granted download. Immutable. */
  public record Download(VersionRef version, String backendServer) {}
}
