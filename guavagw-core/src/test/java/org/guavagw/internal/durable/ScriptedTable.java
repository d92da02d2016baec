package org.guavagw.internal.durable;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.guavagw.platform.CommitResult;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.Row;
import org.guavagw.platform.RowKey;
import org.guavagw.platform.TableService;
import org.guavagw.platform.Transaction;
import org.guavagw.standins.table.InMemoryTableService;

/** One process's client of a shared table service, with injected faults. Thread-safe. */
public final class ScriptedTable implements TableService {
  private final AtomicInteger reads = new AtomicInteger();
  private final AtomicInteger commits = new AtomicInteger();
  private final AtomicInteger answersToLose = new AtomicInteger();
  private final AtomicInteger requestsToLose = new AtomicInteger();
  private final AtomicReference<Runnable> beforeCommit = new AtomicReference<>(() -> {});
  private final AtomicReference<Runnable> afterCommit = new AtomicReference<>(() -> {});
  private final AtomicReference<Runnable> afterRead = new AtomicReference<>(() -> {});
  private final InMemoryTableService store;
  private volatile boolean down;
  private volatile double faultRate;
  private Random random = new Random(0);

  public ScriptedTable(InMemoryTableService store) {
    this.store = store;
  }

  /** Returns the client of another process for the same rows, without faults. */
  public ScriptedTable peer() {
    return new ScriptedTable(store);
  }

  public void down(boolean isDown) {
    down = isDown;
  }

  /** Lets the next commits take effect, but loses their answers. */
  public void loseAnswers(int count) {
    answersToLose.set(count);
  }

  /** Loses the requests of the next commits; the caller sees an unknown outcome. */
  public void loseRequests(int count) {
    requestsToLose.set(count);
  }

  /** Loses requests and answers of commits at random, and lets reads fail at random. */
  public synchronized void loseAtRandom(double rate, long seed) {
    faultRate = rate;
    random = new Random(seed);
  }

  /** Runs an action once, directly before the next commit. */
  public void beforeNextCommit(Runnable action) {
    beforeCommit.set(action);
  }

  /** Runs an action once, after the next commit took effect and before its answer. */
  public void afterNextCommit(Runnable action) {
    afterCommit.set(action);
  }

  /** Runs an action once, after the next read of a row and before it returns. */
  public void afterNextRead(Runnable action) {
    afterRead.set(action);
  }

  /** Returns the number of commits, with any outcome. */
  public int commits() {
    return commits.get();
  }

  /** Returns the number of reads of single rows, with any outcome. */
  public int reads() {
    return reads.get();
  }

  @Override
  public Either<PlatformFailure, Optional<Row>> read(RowKey key) {
    reads.incrementAndGet();
    if (down || randomFault()) {
      return Either.left(PlatformFailure.notApplied("down"));
    }
    Either<PlatformFailure, Optional<Row>> row = store.read(key);
    afterRead.getAndSet(() -> {}).run();
    return row;
  }

  @Override
  public Either<PlatformFailure, List<Row>> range(String table, String from, String to, int limit) {
    if (down || randomFault()) {
      return Either.left(PlatformFailure.notApplied("down"));
    }
    return store.range(table, from, to, limit);
  }

  @Override
  public Either<PlatformFailure, CommitResult> commit(Transaction transaction) {
    commits.incrementAndGet();
    beforeCommit.getAndSet(() -> {}).run();
    if (down) {
      return Either.left(PlatformFailure.notApplied("down"));
    }
    if (decrement(requestsToLose) || randomFault()) {
      return Either.left(PlatformFailure.unknown("request lost"));
    }
    Either<PlatformFailure, CommitResult> result = store.commit(transaction);
    afterCommit.getAndSet(() -> {}).run();
    if (decrement(answersToLose) || randomFault()) {
      return Either.left(PlatformFailure.unknown("answer lost"));
    }
    return result;
  }

  private static boolean decrement(AtomicInteger count) {
    return count.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
  }

  private synchronized boolean randomFault() {
    return random.nextDouble() < faultRate;
  }
}
