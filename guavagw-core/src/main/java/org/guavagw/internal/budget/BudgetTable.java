package org.guavagw.internal.budget;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongUnaryOperator;
import org.guavagw.platform.CommitResult;
import org.guavagw.platform.Condition;
import org.guavagw.platform.Mutation;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.Row;
import org.guavagw.platform.RowKey;
import org.guavagw.platform.TableService;
import org.guavagw.platform.Transaction;

/**
 * Budgets as rows of the table service. A change whose effect stays unknown counts as made when it
 * gives budget back and as not made when it takes some, so that errors never raise what may be
 * spent. Thread-safe; blocks on the table service.
 */
final class BudgetTable {
  private static final int MAX_ATTEMPTS = 5;

  private final AtomicLong writeIds = new AtomicLong();
  private final TableService table;
  private final String writer;

  /** A client of the table; {@code writer} must differ between lives of one entry. */
  BudgetTable(TableService table, String writer) {
    this.table = table;
    this.writer = writer;
  }

  /** Adds to what is taken, by a function of it; gives back how much was added. */
  Either<PlatformFailure, Long> add(RowKey key, LongUnaryOperator amount) {
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      Either<PlatformFailure, Optional<Long>> added = tryAdd(key, amount);
      if (added.isLeft()) {
        return Either.left(added.getLeft());
      }
      if (added.get().isPresent()) {
        return Either.right(added.get().get());
      }
    }
    return Either.left(PlatformFailure.notApplied("the budget's row is contended"));
  }

  private Either<PlatformFailure, Optional<Long>> tryAdd(RowKey key, LongUnaryOperator amount) {
    Either<PlatformFailure, Optional<Row>> read = table.read(key);
    if (read.isLeft()) {
      return Either.left(read.getLeft());
    }
    long taken = read.get().map(r -> BudgetRow.CODEC.decode(r.value()).takenMicros()).orElse(0L);
    long more = amount.applyAsLong(taken);
    if (more == 0) {
      return Either.right(Optional.of(0L));
    }
    BudgetRow next = new BudgetRow(taken + more, writer, writeIds.incrementAndGet());
    return write(key, read.get(), next).map(done -> done ? Optional.of(more) : Optional.empty());
  }

  private Either<PlatformFailure, Boolean> write(RowKey key, Optional<Row> old, BudgetRow next) {
    Condition unchanged =
        old.<Condition>map(r -> new Condition.VersionIs(key, r.version()))
            .orElseGet(() -> new Condition.Absent(key));
    Mutation put = new Mutation.Put(key, BudgetRow.CODEC.encode(next));
    Either<PlatformFailure, CommitResult> result =
        table.commit(new Transaction(List.of(unchanged), List.of(put)));
    if (result.isRight()) {
      return Either.right(result.get() instanceof CommitResult.Committed);
    }
    if (result.getLeft().kind() == PlatformFailure.Kind.NOT_APPLIED) {
      return Either.left(result.getLeft());
    }
    return readBack(key, next, result.getLeft());
  }

  private Either<PlatformFailure, Boolean> readBack(
      RowKey key, BudgetRow written, PlatformFailure failure) {
    Either<PlatformFailure, Optional<Row>> read = table.read(key);
    boolean isThere =
        read.isRight()
            && read.get().isPresent()
            && BudgetRow.CODEC.decode(read.get().get().value()).wasWrittenBy(written);
    return isThere ? Either.right(true) : Either.left(failure);
  }
}
