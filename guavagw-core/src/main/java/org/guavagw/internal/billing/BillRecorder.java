package org.guavagw.internal.billing;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.UnaryOperator;
import org.guavagw.internal.rows.WriteRateLimiter;
import org.guavagw.internal.time.Clocks;
import org.guavagw.platform.TableService;

/**
 * Records a bill for each request of one entry, exactly once.
 *
 * <p>Intents and bills go to the entry's journal in numbered segments, one at a time. A segment
 * whose write has an unknown outcome is written again with the same number and content until the
 * journal contains it or is closed. Thread-safe: only the writer thread blocks on the table
 * service.
 */
public final class BillRecorder implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_PEER_SEGMENTS_PER_WRITE = 50;
  private static final long FLUSH_POLL_MS = 1;
  private static final Duration CLOSE_LIMIT = Duration.ofSeconds(5);

  private final PeerSegmentQueue peerSegments = new PeerSegmentQueue();
  private final UnbilledRequests requests;
  private final SegmentWriter ownWriter;
  private final TableSegmentWriter tableWriter;
  private final BillSettings settings;
  private final WriteRateLimiter rateLimiter;
  private final WriterThread writer;
  private volatile JournalId journal;
  private Optional<PreparedSegment> unconfirmed = Optional.empty();
  private long nextNumber;
  private int peerSegmentsPerWrite = MAX_PEER_SEGMENTS_PER_WRITE;
  private boolean peerSegmentsTurn;
  private volatile boolean storeUnavailable;

  /**
   * Creates the recorder of one incarnation of an entry. It writes nothing before {@link #start}.
   *
   * @param memberCount returns the number of entries that share the write rate
   */
  public BillRecorder(
      TableService table,
      JournalId journal,
      BillSettings settings,
      IntSupplier memberCount,
      Clocks clocks) {
    this(
        new TableSegmentWriter(table),
        ownWriter -> ownWriter,
        journal,
        settings,
        memberCount,
        clocks);
  }

  /**
   * Creates a recorder that does not write its own segments directly to the table service.
   *
   * @param decorator derives the writer of the entry's own segments from the table service's writer
   */
  public BillRecorder(
      TableSegmentWriter table,
      UnaryOperator<SegmentWriter> decorator,
      JournalId journal,
      BillSettings settings,
      IntSupplier memberCount,
      Clocks clocks) {
    this.tableWriter = table;
    this.ownWriter = decorator.apply(table);
    this.journal = journal;
    this.settings = settings;
    this.requests = new UnbilledRequests(settings);
    this.rateLimiter =
        new WriteRateLimiter(settings.writesPerSecond(), memberCount, clocks.monotonic());
    this.writer = new WriterThread(this::writeNext, rateLimiter);
  }

  /** Starts the writer thread. */
  public void start() {
    writer.start();
  }

  /** Records the intent to bill a request that is about to run. Never blocks. */
  public PendingBillIntent open(BillIntentRecord intent) {
    CompletableFuture<IntentOutcome> durable = requests.open(intent);
    if (storeUnavailable) {
      durable.complete(deferred());
    }
    long deferMs = settings.deferAfter().toMillis();
    writer.wake();
    durable.completeOnTimeout(deferred(), deferMs, TimeUnit.MILLISECONDS);
    return new PendingBillIntent(intent.requestId(), durable);
  }

  /** Bills a request. Only the first call for a request has an effect. */
  public void settle(Settlement settlement) {
    requests.settle(settlement);
    writer.wake();
  }

  /** Records that a request did not run and is not charged. */
  public void cancel(String requestId) {
    requests.cancel(requestId);
    writer.wake();
  }

  /** Returns the number of records not written yet, for the state dump. */
  public UnbilledState unbilled() {
    return requests.state(journal);
  }

  /** Waits until all records are durable. Returns false if the limit passes first. */
  public boolean flush(Duration limit) throws InterruptedException {
    long deadline = System.nanoTime() + limit.toNanos();
    while (!isAllWritten() && System.nanoTime() - deadline < 0) {
      TimeUnit.MILLISECONDS.sleep(FLUSH_POLL_MS);
    }
    return isAllWritten();
  }

  private boolean isAllWritten() {
    return requests.isIdle() && peerSegments.isEmpty();
  }

  /** Writes at most one transaction, if the rate limit allows it. */
  synchronized WriteResult writeNext() {
    if (isAllWritten()) {
      return WriteResult.IDLE;
    }
    if (!rateLimiter.tryAcquire()) {
      return WriteResult.RATE_LIMITED;
    }
    peerSegmentsTurn = !peerSegments.isEmpty() && (requests.isIdle() || !peerSegmentsTurn);
    return peerSegmentsTurn ? writePeerSegments() : writeOwnSegment();
  }

  private WriteResult writePeerSegments() {
    List<Either<BillFailure, Void>> results =
        tableWriter.writeFirst(peerSegments.peek(peerSegmentsPerWrite));
    peerSegments.completeFirst(results);
    peerSegmentsPerWrite =
        results.isEmpty() ? 1 : Math.min(2 * peerSegmentsPerWrite, MAX_PEER_SEGMENTS_PER_WRITE);
    boolean anyWritten = results.isEmpty() || results.stream().anyMatch(Either::isRight);
    return anyWritten ? WriteResult.WRITTEN : WriteResult.FAILED;
  }

  private WriteResult writeOwnSegment() {
    if (unconfirmed.isEmpty()) {
      unconfirmed = requests.nextSegment().map(this::prepare);
    }
    if (unconfirmed.isEmpty()) {
      return WriteResult.IDLE;
    }
    return ownWriter.write(unconfirmed.get()).fold(this::onFailed, done -> onWritten());
  }

  private PreparedSegment prepare(SegmentRow row) {
    return new PreparedSegment(journal, nextNumber++, SegmentRow.CODEC.encode(row));
  }

  private WriteResult onWritten() {
    storeUnavailable = false;
    unconfirmed = Optional.empty();
    requests.confirm().forEach(future -> future.complete(new IntentOutcome.Durable()));
    return WriteResult.WRITTEN;
  }

  private WriteResult onFailed(BillFailure failure) {
    if (failure instanceof BillFailure.JournalClosed) {
      startNextJournal();
      return WriteResult.WRITTEN;
    }
    storeUnavailable = true;
    requests.incompleteFutures().forEach(future -> future.complete(deferred()));
    return WriteResult.FAILED;
  }

  private void startNextJournal() {
    logger.atWarning().log("journal %s was closed; the sweeper bills its intents", journal);
    journal = journal.next();
    nextNumber = 0;
    unconfirmed = Optional.empty();
    requests.moveToNewJournal();
  }

  /**
   * Stops writing and returns the unwritten segments, for a peer that can reach the table service.
   */
  public UnbilledSnapshot handOver() {
    writer.stop();
    List<PreparedSegment> segments = new ArrayList<>();
    synchronized (this) {
      segments.addAll(peerSegments.peek(Integer.MAX_VALUE));
      unconfirmed.ifPresent(segments::add);
      requests.confirm();
      Optional<SegmentRow> row = requests.nextSegment();
      while (row.isPresent()) {
        segments.add(prepare(row.get()));
        requests.confirm();
        row = requests.nextSegment();
      }
    }
    return new UnbilledSnapshot(segments);
  }

  /**
   * Writes segments that another entry could not write. That entry and other peers may write the
   * same snapshot too.
   */
  public CompletableFuture<Either<BillFailure, Void>> takeOver(UnbilledSnapshot snapshot) {
    CompletableFuture<Either<BillFailure, Void>> all =
        CompletableFuture.completedFuture(Either.right(null));
    for (PreparedSegment segment : snapshot.segments()) {
      all =
          all.thenCombine(peerSegments.add(segment), (first, next) -> first.flatMap(done -> next));
    }
    writer.wake();
    return all;
  }

  /** Writes the remaining records, within a time limit, and stops the writer thread. */
  @Override
  public void close() {
    try {
      if (writer.isRunning()) {
        flush(CLOSE_LIMIT);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    writer.stop();
  }

  private static IntentOutcome deferred() {
    return new IntentOutcome.Deferred("the table service is slow or unavailable");
  }
}
