package org.guavagw.internal.config;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.guavagw.platform.CommitResult;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.Row;
import org.guavagw.platform.RowKey;
import org.guavagw.platform.TableService;
import org.guavagw.platform.Transaction;

/** Delegates calls to a table service, with faults that a test injects. Thread-safe. */
public final class FaultInjectingTableService implements TableService {
  private final TableService tables;
  private final AtomicInteger lostAnswers = new AtomicInteger();
  private volatile boolean readsDown;
  private volatile Runnable beforeCommit = () -> {};

  public FaultInjectingTableService(TableService tables) {
    this.tables = tables;
  }

  public void loseNextAnswer() {
    lostAnswers.set(1);
  }

  public void setReadsDown(boolean down) {
    readsDown = down;
  }

  void beforeCommit(Runnable action) {
    beforeCommit = action;
  }

  @Override
  public Either<PlatformFailure, Optional<Row>> read(RowKey key) {
    return readsDown ? down() : tables.read(key);
  }

  @Override
  public Either<PlatformFailure, List<Row>> range(String table, String from, String to, int limit) {
    return readsDown ? down() : tables.range(table, from, to, limit);
  }

  @Override
  public Either<PlatformFailure, CommitResult> commit(Transaction transaction) {
    beforeCommit.run();
    Either<PlatformFailure, CommitResult> result = tables.commit(transaction);
    boolean lost = lostAnswers.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
    return lost ? Either.left(PlatformFailure.unknown("answer lost")) : result;
  }

  private static <T> Either<PlatformFailure, T> down() {
    return Either.left(PlatformFailure.notApplied("down"));
  }
}
