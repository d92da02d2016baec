package org.guavagw.internal.explain;

import com.google.common.collect.Sets;
import com.google.common.flogger.FluentLogger;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.guavagw.platform.ObjectStore;

/**
 * Keeps recent decision records in memory and writes them to the object store in batches.
 *
 * <p>Memory is bounded: while the store is unavailable, the oldest unwritten records are dropped,
 * and the next batch states that. Thread-safe; {@link #append} never blocks on the store.
 */
public final class DecisionLog implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int LOG_PERIOD_SECONDS = 10;

  private final Object writing = new Object();
  private final Deque<DecisionRecord> unwritten = new ArrayDeque<>();
  private final List<RecordLoss> losses = new ArrayList<>();
  private final Map<String, DecisionRecord> recent;
  private final String entry;
  private final DecisionArchive archive;
  private final InstantSource wall;
  private final DecisionLogSettings settings;
  private long nextBatchNumber;

  /** Creates the log of an entry, whose name must be the one in its request ids. */
  public DecisionLog(
      String entry, ObjectStore store, InstantSource wall, DecisionLogSettings settings) {
    this.entry = entry;
    this.archive = new DecisionArchive(store);
    this.wall = wall;
    this.settings = settings;
    this.recent = new BoundedMap<>(settings.recentRecords());
  }

  /** Schedules periodic writes of batches until the future is cancelled. */
  public ScheduledFuture<?> scheduleFlushes(ScheduledExecutorService scheduler) {
    long periodMs = settings.flushInterval().toMillis();
    return scheduler.scheduleWithFixedDelay(this::flush, periodMs, periodMs, TimeUnit.MILLISECONDS);
  }

  /** Appends the record of a finished request. */
  public synchronized void append(DecisionRecord record) {
    recent.put(record.requestId(), record);
    unwritten.addLast(record);
    if (unwritten.size() > settings.unwrittenRecords()) {
      recordLoss(unwritten.removeFirst());
    }
  }

  private void recordLoss(DecisionRecord dropped) {
    long timeMs = timeMs(dropped);
    RecordLoss last = losses.isEmpty() ? null : losses.get(losses.size() - 1);
    if (last == null || DecisionArchive.hourOf(last.fromMs()) != DecisionArchive.hourOf(timeMs)) {
      losses.add(
          new RecordLoss(timeMs, timeMs, 1, "dropped while the object store was unavailable"));
      return;
    }
    RecordLoss extended =
        new RecordLoss(
            Math.min(last.fromMs(), timeMs),
            Math.max(last.toMs(), timeMs),
            last.count() + 1,
            last.reason());
    losses.set(losses.size() - 1, extended);
  }

  /** Returns the number of records that are not in the object store yet. */
  public synchronized int unwrittenCount() {
    return unwritten.size();
  }

  /** Writes one batch; returns true if nothing is left to write or the write failed. */
  public boolean flush() {
    synchronized (writing) {
      PendingBatch batch = nextBatch();
      if (batch.isEmpty()) {
        return true;
      }
      return archive
          .write(batch.span(), batch.content())
          .peekLeft(
              failure ->
                  logger.atWarning().atMostEvery(LOG_PERIOD_SECONDS, TimeUnit.SECONDS).log(
                      "cannot write decision records: %s", failure))
          .fold(failure -> true, done -> confirm(batch));
    }
  }

  private synchronized PendingBatch nextBatch() {
    List<DecisionRecord> records = new ArrayList<>();
    long hour = firstHour();
    for (DecisionRecord record : unwritten) {
      if (records.size() == settings.recordsPerBatch() || hourOf(record) != hour) {
        break;
      }
      records.add(record);
    }
    List<RecordLoss> batchLosses =
        losses.stream().filter(n -> DecisionArchive.hourOf(n.fromMs()) == hour).toList();
    return new PendingBatch(entry, nextBatchNumber, new DecisionBatch(records, batchLosses));
  }

  private long firstHour() {
    if (!losses.isEmpty()) {
      return DecisionArchive.hourOf(losses.get(0).fromMs());
    }
    return unwritten.isEmpty() ? 0 : hourOf(unwritten.peekFirst());
  }

  private synchronized boolean confirm(PendingBatch batch) {
    nextBatchNumber++;
    Set<DecisionRecord> written = Sets.newIdentityHashSet();
    written.addAll(batch.content().records());
    while (written.contains(unwritten.peekFirst())) {
      unwritten.removeFirst();
    }
    losses.removeAll(batch.content().losses());
    return unwritten.isEmpty() && losses.isEmpty();
  }

  /** Finds the record of a request that any entry handled; may block on the object store. */
  public LookupResult find(String requestId) {
    Optional<String> creator = RequestIds.entryOf(requestId);
    Optional<Instant> time = RequestIds.timeOf(requestId);
    if (creator.isEmpty() || time.isEmpty() || time.get().isAfter(wall.instant())) {
      return new LookupResult.NeverSeen();
    }
    synchronized (this) {
      DecisionRecord record = recent.get(requestId);
      if (record != null) {
        return new LookupResult.Found(record);
      }
    }
    return archive
        .read(creator.get(), time.get().toEpochMilli())
        .fold(
            failure -> new LookupResult.StoreUnavailable(failure.reason()),
            batches -> find(requestId, creator.get(), time.get(), batches));
  }

  private LookupResult find(
      String requestId, String creator, Instant time, List<DecisionBatch> batches) {
    Optional<DecisionRecord> record =
        batches.stream()
            .flatMap(b -> b.records().stream())
            .filter(r -> r.requestId().equals(requestId))
            .findFirst();
    if (record.isPresent()) {
      return new LookupResult.Found(record.get());
    }
    Optional<RecordLoss> loss =
        batches.stream()
            .flatMap(b -> b.losses().stream())
            .filter(n -> n.covers(time.toEpochMilli()))
            .findFirst();
    if (loss.isPresent()) {
      return new LookupResult.Lost(creator, loss.get().reason());
    }
    Instant writtenBy = time.plus(settings.flushInterval().multipliedBy(2));
    if (wall.instant().isBefore(writtenBy)) {
      return new LookupResult.NotYetWritten(creator, writtenBy);
    }
    return new LookupResult.Lost(creator, "not written to the object store in time");
  }

  /** Writes the unwritten records until none is left or a write fails. */
  @Override
  public void close() {
    boolean finished = flush();
    while (!finished) {
      finished = flush();
    }
  }

  private static long timeMs(DecisionRecord record) {
    return RequestIds.timeOf(record.requestId()).orElse(record.time()).toEpochMilli();
  }

  private static long hourOf(DecisionRecord record) {
    return DecisionArchive.hourOf(timeMs(record));
  }

  /** A batch that is not confirmed by the object store yet. Immutable. */
  private record PendingBatch(String entry, long number, DecisionBatch content) {
    boolean isEmpty() {
      return content.records().isEmpty() && content.losses().isEmpty();
    }

    DecisionArchive.ArchivedSpan span() {
      long first = Long.MAX_VALUE;
      long last = Long.MIN_VALUE;
      for (DecisionRecord record : content.records()) {
        first = Math.min(first, timeMs(record));
        last = Math.max(last, timeMs(record));
      }
      for (RecordLoss loss : content.losses()) {
        first = Math.min(first, loss.fromMs());
        last = Math.max(last, loss.toMs());
      }
      return new DecisionArchive.ArchivedSpan(entry, first, last, number);
    }
  }

  /** Removes its oldest entries beyond a size. Guarded by the log's lock. */
  private static final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1L;

    private final int maxSize;

    BoundedMap(int maxSize) {
      this.maxSize = maxSize;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
      return size() > maxSize;
    }
  }
}
