package org.guavagw.internal.billing;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
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
  private static final long IDLE_WAIT_MS = 1;
  private static final long FAILED_WRITE_WAIT_MS = 250;

  private final Deque<Adoption> adoptions = new ArrayDeque<>();
  private final UnbilledRequests requests;
  private final JournalTable journals;
  private final BillSettings settings;
  private final WritePacer pacer;
  private volatile JournalId journal;
  private Optional<Long> journalVersion = Optional.empty();
  private Optional<PreparedSegment> sent = Optional.empty();
  private long nextNumber;
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
    this.journals = new JournalTable(table);
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
    durable.completeOnTimeout(deferred(), deferMs, TimeUnit.MILLISECONDS);
    return new BillIntent(opening.requestId(), durable);
  }

  /** Bills a request; only the first call for a request counts. */
  public void settle(Settlement settlement) {
    requests.settle(settlement);
  }

  /** Closes the bill of a request that did not run without a charge. */
  public void cancel(String requestId) {
    requests.cancel(requestId);
  }

  /** What is still owed, for the state dump. */
  public UnbilledState unbilled() {
    return requests.state(journal);
  }

  /** Waits until all that can be written is durable; gives back whether it is. */
  public boolean flush(Duration limit) throws InterruptedException {
    long deadline = System.nanoTime() + limit.toNanos();
    while (!isWritten() && System.nanoTime() - deadline < 0) {
      TimeUnit.MILLISECONDS.sleep(IDLE_WAIT_MS);
    }
    return isWritten();
  }

  private synchronized boolean isWritten() {
    return requests.isIdle() && adoptions.isEmpty();
  }

  private void writeUntilStopped() {
    while (!stopped) {
      try {
        TimeUnit.NANOSECONDS.sleep(Math.max(pacer.nanosUntilNext(), waitNanos(writeNext())));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private static long waitNanos(WriteStep step) {
    return switch (step) {
      case WROTE, PACED -> 0;
      case IDLE -> TimeUnit.MILLISECONDS.toNanos(IDLE_WAIT_MS);
      case FAILED -> TimeUnit.MILLISECONDS.toNanos(FAILED_WRITE_WAIT_MS);
    };
  }

  /** Writes at most one transaction, if the pace allows it. */
  synchronized WriteStep writeNext() {
    if (isWritten()) {
      return WriteStep.IDLE;
    }
    if (!pacer.tryAcquire()) {
      return WriteStep.PACED;
    }
    if (!adoptions.isEmpty()) {
      return writeAdopted(adoptions.peekFirst());
    }
    return journalVersion.isEmpty() ? openJournal() : writeSegment(journalVersion.get());
  }

  private WriteStep openJournal() {
    return journals.open(journal).fold(this::failed, this::opened);
  }

  private WriteStep opened(long version) {
    journalVersion = Optional.of(version);
    return WriteStep.WROTE;
  }

  private WriteStep writeSegment(long version) {
    if (sent.isEmpty()) {
      sent = requests.nextSegment().map(row -> prepare(row));
    }
    if (sent.isEmpty()) {
      return WriteStep.IDLE;
    }
    return journals.append(sent.get(), version).fold(this::failed, done -> written());
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
    journalVersion = Optional.empty();
    nextNumber = 0;
    sent = Optional.empty();
    requests.moveToNewJournal();
  }

  private WriteStep writeAdopted(Adoption adoption) {
    if (adoption.remaining.isEmpty()) {
      return finishAdoption(adoption, Either.right(null));
    }
    PreparedSegment segment = adoption.remaining.peekFirst();
    Either<BillFailure, Void> result =
        journals.open(segment.journal()).flatMap(version -> journals.append(segment, version));
    if (result.isRight()) {
      adoption.remaining.removeFirst();
      return adoption.remaining.isEmpty() ? finishAdoption(adoption, result) : WriteStep.WROTE;
    }
    if (result.getLeft() instanceof BillFailure.JournalClosed) {
      return finishAdoption(adoption, result);
    }
    return WriteStep.FAILED;
  }

  private WriteStep finishAdoption(Adoption adoption, Either<BillFailure, Void> result) {
    adoptions.remove(adoption);
    adoption.done.complete(result);
    return WriteStep.WROTE;
  }

  /** Stops writing and gives out what is unwritten, for a peer that reaches the table service. */
  public UnbilledSnapshot handOver() {
    stop();
    List<PreparedSegment> segments = new ArrayList<>();
    synchronized (this) {
      adoptions.forEach(a -> segments.addAll(a.remaining));
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
  public synchronized CompletableFuture<Either<BillFailure, Void>> takeOver(
      UnbilledSnapshot snapshot) {
    Adoption adoption = new Adoption(new ArrayDeque<>(snapshot.segments()));
    adoptions.addLast(adoption);
    return adoption.done;
  }

  private void stop() {
    stopped = true;
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

  /** Stops the writer thread; what is unwritten stays unwritten. */
  @Override
  public void close() {
    stop();
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

  /** A snapshot of another entry that is being written. Guarded by the book's lock. */
  private static final class Adoption {
    private final CompletableFuture<Either<BillFailure, Void>> done = new CompletableFuture<>();
    private final Deque<PreparedSegment> remaining;

    Adoption(Deque<PreparedSegment> remaining) {
      this.remaining = remaining;
    }
  }
}
