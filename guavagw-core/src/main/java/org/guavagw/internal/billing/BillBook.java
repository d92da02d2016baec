package org.guavagw.internal.billing;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.UnaryOperator;
import org.guavagw.internal.rows.WritePacer;
import org.guavagw.internal.time.Clocks;
import org.guavagw.platform.TableService;

/**
 * Bills each request of one entry once.
 *
 * <p>Intents and bills go to the entry's journal in numbered segments, one at a time. A segment
 * whose write had no clear answer is written again with the same number and content until the
 * journal holds it or is closed. Thread-safe: callers never block on the table service, one writer
 * thread does.
 */
public final class BillBook implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_ADOPTED_PER_WRITE = 50;
  private static final long IDLE_WAIT_MS = 1_000;
  private static final long FLUSH_POLL_MS = 1;
  private static final Duration CLOSE_LIMIT = Duration.ofSeconds(5);
  private static final long FAILED_WRITE_WAIT_MS = 250;

  private final Semaphore work = new Semaphore(0);
  private final AdoptedSegments adopted = new AdoptedSegments();
  private final UnbilledRequests requests;
  private final SegmentWriter own;
  private final TableSegmentWriter table;
  private final BillSettings settings;
  private final WritePacer pacer;
  private volatile JournalId journal;
  private Optional<PreparedSegment> sent = Optional.empty();
  private long nextNumber;
  private int adoptedPerWrite = MAX_ADOPTED_PER_WRITE;
  private boolean adoptedNext;
  private volatile boolean storeAway;
  private volatile boolean stopped;
  private Thread writer;

  /**
   * A book of one life of an entry; it writes nothing before {@link #start}.
   *
   * @param members counts the entries that share the write rate
   */
  public BillBook(
      TableService table,
      JournalId journal,
      BillSettings settings,
      IntSupplier members,
      Clocks clocks) {
    this(new TableSegmentWriter(table), own -> own, journal, settings, members, clocks);
  }

  /**
   * A book that writes its own segments by another way than straight to the table service.
   *
   * @param way makes the writer of own segments from that of the table service
   */
  public BillBook(
      TableSegmentWriter table,
      UnaryOperator<SegmentWriter> way,
      JournalId journal,
      BillSettings settings,
      IntSupplier members,
      Clocks clocks) {
    this.table = table;
    this.own = way.apply(table);
    this.journal = journal;
    this.settings = settings;
    this.requests = new UnbilledRequests(settings);
    this.pacer = new WritePacer(settings.writesPerSecond(), members, clocks.monotonic());
  }

  /** Starts the writer thread. */
  public synchronized void start() {
    writer = new Thread(this::writeUntilStopped, "bill-writer");
    writer.setDaemon(true);
    writer.start();
  }

  /** Announces a request that is about to run; never blocks. */
  public BillIntent open(BillOpening opening) {
    CompletableFuture<IntentOutcome> durable = requests.open(opening);
    if (storeAway) {
      durable.complete(deferred());
    }
    long deferMs = settings.deferAfter().toMillis();
    wakeWriter();
    durable.completeOnTimeout(deferred(), deferMs, TimeUnit.MILLISECONDS);
    return new BillIntent(opening.requestId(), durable);
  }

  /** Bills a request; only the first call for a request counts. */
  public void settle(Settlement settlement) {
    requests.settle(settlement);
    wakeWriter();
  }

  /** Closes the bill of a request that did not run without a charge. */
  public void cancel(String requestId) {
    requests.cancel(requestId);
    wakeWriter();
  }

  /** What is still owed, for the state dump. */
  public UnbilledState unbilled() {
    return requests.state(journal);
  }

  /** Waits until all that can be written is durable; gives back whether it is. */
  public boolean flush(Duration limit) throws InterruptedException {
    long deadline = System.nanoTime() + limit.toNanos();
    while (!isWritten() && System.nanoTime() - deadline < 0) {
      TimeUnit.MILLISECONDS.sleep(FLUSH_POLL_MS);
    }
    return isWritten();
  }

  private boolean isWritten() {
    return requests.isIdle() && adopted.isEmpty();
  }

  private void writeUntilStopped() {
    while (!stopped) {
      try {
        waitAfter(writeNext());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private void waitAfter(WriteStep step) throws InterruptedException {
    switch (step) {
      case IDLE -> awaitWork();
      case FAILED -> TimeUnit.MILLISECONDS.sleep(FAILED_WRITE_WAIT_MS);
      default -> TimeUnit.NANOSECONDS.sleep(pacer.nanosUntilNext());
    }
  }

  private void awaitWork() throws InterruptedException {
    boolean woken = work.tryAcquire(IDLE_WAIT_MS, TimeUnit.MILLISECONDS);
    if (woken) {
      work.drainPermits();
    }
  }

  private void wakeWriter() {
    if (work.availablePermits() == 0) {
      work.release();
    }
  }

  /** Writes at most one transaction, if the pace allows it. */
  synchronized WriteStep writeNext() {
    if (isWritten()) {
      return WriteStep.IDLE;
    }
    if (!pacer.tryAcquire()) {
      return WriteStep.PACED;
    }
    adoptedNext = !adopted.isEmpty() && (requests.isIdle() || !adoptedNext);
    return adoptedNext ? writeAdopted() : writeSegment();
  }

  private WriteStep writeAdopted() {
    List<Either<BillFailure, Void>> results = table.writeFirst(adopted.first(adoptedPerWrite));
    adopted.settle(results);
    adoptedPerWrite = results.isEmpty() ? 1 : Math.min(2 * adoptedPerWrite, MAX_ADOPTED_PER_WRITE);
    boolean anyDone = results.isEmpty() || results.stream().anyMatch(Either::isRight);
    return anyDone ? WriteStep.WROTE : WriteStep.FAILED;
  }

  private WriteStep writeSegment() {
    if (sent.isEmpty()) {
      sent = requests.nextSegment().map(this::prepare);
    }
    if (sent.isEmpty()) {
      return WriteStep.IDLE;
    }
    return own.write(sent.get()).fold(this::failed, done -> written());
  }

  private PreparedSegment prepare(SegmentRow row) {
    return new PreparedSegment(journal, nextNumber++, SegmentRow.CODEC.encode(row));
  }

  private WriteStep written() {
    storeAway = false;
    sent = Optional.empty();
    requests.confirm().forEach(w -> w.complete(new IntentOutcome.Durable()));
    return WriteStep.WROTE;
  }

  private WriteStep failed(BillFailure failure) {
    if (failure instanceof BillFailure.JournalClosed) {
      startNextJournal();
      return WriteStep.WROTE;
    }
    storeAway = true;
    requests.waiting().forEach(w -> w.complete(deferred()));
    return WriteStep.FAILED;
  }

  private void startNextJournal() {
    logger.atWarning().log("journal %s was closed, the sweeper bills its intents", journal);
    journal = journal.next();
    nextNumber = 0;
    sent = Optional.empty();
    requests.moveToNewJournal();
  }

  /** Stops writing and gives out what is unwritten, for a peer that reaches the table service. */
  public UnbilledSnapshot handOver() {
    stop();
    List<PreparedSegment> segments = new ArrayList<>();
    synchronized (this) {
      segments.addAll(adopted.first(Integer.MAX_VALUE));
      sent.ifPresent(segments::add);
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
   * Writes what another entry could not. The other entry and further peers may write the same
   * snapshot too.
   */
  public CompletableFuture<Either<BillFailure, Void>> takeOver(UnbilledSnapshot snapshot) {
    CompletableFuture<Either<BillFailure, Void>> all =
        CompletableFuture.completedFuture(Either.right(null));
    for (PreparedSegment segment : snapshot.segments()) {
      all = all.thenCombine(adopted.add(segment), (first, next) -> first.flatMap(done -> next));
    }
    wakeWriter();
    return all;
  }

  private void stop() {
    stopped = true;
    wakeWriter();
    Thread running;
    synchronized (this) {
      running = writer;
    }
    if (running == null) {
      return;
    }
    try {
      running.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Writes what waits, within a time limit, and stops the writer thread. */
  @Override
  public void close() {
    try {
      if (!stopped && isStarted()) {
        flush(CLOSE_LIMIT);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    stop();
  }

  private synchronized boolean isStarted() {
    return writer != null;
  }

  private static IntentOutcome deferred() {
    return new IntentOutcome.Deferred("the table service is slow or away");
  }

  /** What became of one turn of the writer. */
  enum WriteStep {
    IDLE,
    PACED,
    WROTE,
    FAILED
  }
}
