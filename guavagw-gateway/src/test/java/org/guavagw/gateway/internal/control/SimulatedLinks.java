package org.guavagw.gateway.internal.control;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.guavagw.internal.peer.PeerCodec;
import org.guavagw.internal.peer.PeerMessage;

/**
 * How long the messages of entries take their links, each of which has its own. Not thread-safe.
 */
final class SimulatedLinks {
  private final PeerCodec codec = new PeerCodec();
  private final Map<String, Busy> lastBusyByEntry = new HashMap<>();
  private final long bytesPerSecond;
  private final Ticker ticker;
  private long longestNanos;

  SimulatedLinks(long bytesPerSecond, Ticker ticker) {
    this.bytesPerSecond = bytesPerSecond;
    this.ticker = ticker;
  }

  /** Sends a message after those that the link of an entry still has to send. */
  void send(String entry, PeerMessage message) {
    long now = ticker.read();
    long nanos = TimeUnit.SECONDS.toNanos(codec.encode(message).length) / bytesPerSecond;
    Busy busy = lastBusyByEntry.getOrDefault(entry, new Busy(now, now));
    Busy extended = busy.untilNanos() < now ? new Busy(now, now + nanos) : busy.plus(nanos);
    lastBusyByEntry.put(entry, extended);
    longestNanos = Math.max(longestNanos, extended.untilNanos() - extended.sinceNanos());
  }

  /** Returns the longest time for which a link was taken without a pause. */
  Duration longestBusy() {
    return Duration.ofNanos(longestNanos);
  }

  /** A time in which a link is taken. Immutable. */
  private record Busy(long sinceNanos, long untilNanos) {
    Busy plus(long nanos) {
      return new Busy(sinceNanos, untilNanos + nanos);
    }
  }
}
