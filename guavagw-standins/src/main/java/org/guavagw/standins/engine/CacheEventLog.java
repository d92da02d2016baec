package org.guavagw.standins.engine;

import com.google.common.base.Ticker;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The published events of a prefix cache. Events are shown after a delay, some are lost, and only
 * the newest are kept. A lost event leaves a gap in the sequence numbers. Thread-safe.
 */
final class CacheEventLog {
  private final Deque<PublishedEvent> events = new ArrayDeque<>();
  private final PrefixCacheSettings settings;
  private final Ticker ticker;
  private final UniformRandomProvider random;
  private long lastSeq;

  CacheEventLog(PrefixCacheSettings settings, Ticker ticker) {
    this.settings = settings;
    this.ticker = ticker;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed());
  }

  synchronized void publish(CacheEvent.Kind kind, String prefixHash) {
    lastSeq++;
    if (random.nextDouble() < settings.eventLoss()) {
      return;
    }
    events.addLast(new PublishedEvent(ticker.read(), new CacheEvent(lastSeq, kind, prefixHash)));
    if (events.size() > settings.keptEvents()) {
      events.removeFirst();
    }
  }

  synchronized Page after(long seq) {
    long shownAt = ticker.read() - settings.eventLag().toNanos();
    List<CacheEvent> shown =
        events.stream()
            .filter(e -> e.at() <= shownAt)
            .map(PublishedEvent::event)
            .filter(e -> e.seq() > seq)
            .toList();
    return new Page(shown, events.isEmpty() ? lastSeq + 1 : events.getFirst().event().seq());
  }

  /** The requested events and the sequence number of the oldest kept event. */
  record Page(List<CacheEvent> events, long oldest) {}

  /** An event and the time at which it happened. */
  private record PublishedEvent(long at, CacheEvent event) {}
}
