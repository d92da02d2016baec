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

/** One process's view of a table service, with faults on demand. Thread-safe. */
public final class ScriptedTable implements TableService {
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

  /** Another process's view of the same rows. */
  public ScriptedTable peer() {
    return new ScriptedTable(store);
  }

  public void down(boolean isDown) {
    down = isDown;
  }

  /** The next commits take effect, but their answers are lost. */
  public void loseAnswers(int count) {
    answersToLose.set(count);
  }

  /** The next commits do not arrive, and nobody can tell. */
  public void loseRequests(int count) {
    requestsToLose.set(count);
  }

  /** Loses requests and answers of commits at random, and fails reads. */
  public synchronized void loseAtRandom(double rate, long seed) {
    faultRate = rate;
    random = new Random(seed);
  }

  /** Runs once, right before the next commit. */
  public void beforeNextCommit(Runnable action) {
    beforeCommit.set(action);
  }

  /** Runs once, after the next commit took effect and before its answer. */
  public void afterNextCommit(Runnable action) {
    afterCommit.set(action);
  }

  /** Runs once, after the next read took its value and before it returns. */
  public void afterNextRead(Runnable action) {
    afterRead.set(action);
  }

  /** Transactions that were sent, with any outcome. */
  public int commits() {
    return commits.get();
  }

  @Override
  public Either<PlatformFailure, Optional<Row>> read(RowKey key) {
    if (down || happens()) {
      return Either.left(PlatformFailure.notApplied("down"));
    }
    Either<PlatformFailure, Optional<Row>> row = store.read(key);
    afterRead.getAndSet(() -> {}).run();
    return row;
  }

  @Override
  public Either<PlatformFailure, List<Row>> range(String table, String from, String to, int limit) {
    if (down || happens()) {
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
    if (take(requestsToLose) || happens()) {
      return Either.left(PlatformFailure.unknown("request lost"));
    }
    Either<PlatformFailure, CommitResult> result = store.commit(transaction);
    afterCommit.getAndSet(() -> {}).run();
    if (take(answersToLose) || happens()) {
      return Either.left(PlatformFailure.unknown("answer lost"));
    }
    return result;
  }

  private static boolean take(AtomicInteger count) {
    return count.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
  }

  private synchronized boolean happens() {
    return random.nextDouble() < faultRate;
  }
}
