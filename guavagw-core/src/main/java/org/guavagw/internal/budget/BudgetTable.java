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
 * Stores budgets as rows of the table service. If the outcome of a change is unknown, budget being
 * returned counts as returned and budget being taken counts as not taken, so errors never increase
 * what may be spent. Thread-safe; blocks on the table service.
 */
final class BudgetTable {
  private static final int MAX_ATTEMPTS = 5;

  private final AtomicLong writeIds = new AtomicLong();
  private final TableService table;
  private final String writer;

  /** Creates a client of the table. {@code writer} must be unique per incarnation of an entry. */
  BudgetTable(TableService table, String writer) {
    this.table = table;
    this.writer = writer;
  }

  /**
   * Adds to the taken amount. {@code amount} computes the addend from the current value. Returns
   * the addend.
   */
  Either<PlatformFailure, Long> addToTaken(RowKey key, LongUnaryOperator amount) {
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      Either<PlatformFailure, Optional<Long>> added = addToTakenOnce(key, amount);
      if (added.isLeft()) {
        return Either.left(added.getLeft());
      }
      if (added.get().isPresent()) {
        return Either.right(added.get().get());
      }
    }
    return Either.left(
        PlatformFailure.notApplied("too many concurrent changes of the budget's row"));
  }

  private Either<PlatformFailure, Optional<Long>> addToTakenOnce(
      RowKey key, LongUnaryOperator amount) {
    Either<PlatformFailure, Optional<Row>> read = table.read(key);
    if (read.isLeft()) {
      return Either.left(read.getLeft());
    }
    long taken = read.get().map(r -> BudgetRow.CODEC.decode(r.value()).takenMicros()).orElse(0L);
    long addend = amount.applyAsLong(taken);
    if (addend == 0) {
      return Either.right(Optional.of(0L));
    }
    BudgetRow next = new BudgetRow(taken + addend, writer, writeIds.incrementAndGet());
    return write(key, read.get(), next).map(done -> done ? Optional.of(addend) : Optional.empty());
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
    boolean isWritten =
        read.isRight()
            && read.get().isPresent()
            && BudgetRow.CODEC.decode(read.get().get().value()).wasWrittenBy(written);
    return isWritten ? Either.right(true) : Either.left(failure);
  }
}
