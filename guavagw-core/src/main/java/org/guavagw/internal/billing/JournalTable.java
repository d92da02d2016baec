package org.guavagw.internal.billing;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.guavagw.platform.CommitResult;
import org.guavagw.platform.Condition;
import org.guavagw.platform.Mutation;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.Row;
import org.guavagw.platform.RowKey;
import org.guavagw.platform.TableService;
import org.guavagw.platform.Transaction;

/**
 * Stores journals as rows of the table service. A segment is added only while its journal is open,
 * and only once. Thread-safe; blocks on the table service.
 */
final class JournalTable {
  private static final byte[] EMPTY = new byte[0];

  private final TableService table;

  JournalTable(TableService table) {
    this.table = table;
  }

  /** Opens a journal unless it is already open. Returns the version of its row. */
  Either<BillFailure, Long> open(JournalId id) {
    return table
        .read(id.liveKey())
        .mapLeft(JournalTable::unavailable)
        .flatMap(row -> row.isPresent() ? versionIfOpen(id, row.get()) : create(id));
  }

  private Either<BillFailure, Long> versionIfOpen(JournalId id, Row row) {
    JournalRow journal = JournalRow.CODEC.decode(row.value());
    if (journal.state() != JournalRow.State.OPEN) {
      return Either.left(new BillFailure.JournalClosed(id));
    }
    return Either.right(row.version());
  }

  private Either<BillFailure, Long> create(JournalId id) {
    byte[] value = JournalRow.CODEC.encode(JournalRow.open(id));
    Transaction transaction =
        new Transaction(
            List.of(new Condition.Absent(id.liveKey()), new Condition.Absent(id.doneKey())),
            List.of(new Mutation.Put(id.liveKey(), value)));
    Either<PlatformFailure, CommitResult> result = table.commit(transaction);
    return table
        .read(id.liveKey())
        .mapLeft(JournalTable::unavailable)
        .flatMap(row -> row.isPresent() ? versionIfOpen(id, row.get()) : notOpened(id, result));
  }

  private static Either<BillFailure, Long> notOpened(
      JournalId id, Either<PlatformFailure, CommitResult> result) {
    return Either.left(
        result.fold(JournalTable::unavailable, decided -> new BillFailure.JournalClosed(id)));
  }

  /** Writes a segment unless the journal already contains it. */
  Either<BillFailure, Void> append(Append append) {
    Either<PlatformFailure, CommitResult> result = table.commit(appendTransaction(List.of(append)));
    if (result.isRight() && result.get() instanceof CommitResult.Committed) {
      return Either.right(null);
    }
    return readBack(append.segment(), result);
  }

  /** Writes segments in one transaction. Returns false if the transaction conflicted. */
  Either<BillFailure, Boolean> appendAll(List<Append> appends) {
    return commit(appendTransaction(appends));
  }

  private static Transaction appendTransaction(List<Append> appends) {
    List<Condition> conditions = new ArrayList<>();
    List<Mutation> mutations = new ArrayList<>();
    for (Append append : appends) {
      PreparedSegment segment = append.segment();
      RowKey key = segment.journal().segmentKey(segment.number());
      conditions.add(new Condition.Absent(key));
      conditions.add(new Condition.VersionIs(segment.journal().liveKey(), append.journalVersion()));
      mutations.add(new Mutation.Put(key, segment.content()));
    }
    return new Transaction(conditions, mutations);
  }

  private Either<BillFailure, Void> readBack(
      PreparedSegment segment, Either<PlatformFailure, CommitResult> result) {
    if (result.isLeft() && result.getLeft().kind() == PlatformFailure.Kind.NOT_APPLIED) {
      return Either.left(unavailable(result.getLeft()));
    }
    Either<PlatformFailure, Optional<Row>> read =
        table.read(segment.journal().segmentKey(segment.number()));
    if (read.isLeft()) {
      return Either.left(unavailable(read.getLeft()));
    }
    if (read.get().isPresent() && Arrays.equals(read.get().get().value(), segment.content())) {
      return Either.right(null);
    }
    return Either.left(
        result.fold(
            JournalTable::unavailable,
            conflict -> new BillFailure.JournalClosed(segment.journal())));
  }

  /**
   * Writes the last segment of a journal and marks it as finished. Returns false if its row has
   * changed.
   */
  Either<BillFailure, Boolean> finish(JournalId id, long journalVersion, Mutation lastSegment) {
    return commit(
        new Transaction(
            List.of(new Condition.VersionIs(id.liveKey(), journalVersion)),
            List.of(
                lastSegment,
                new Mutation.Delete(id.liveKey()),
                new Mutation.Put(id.doneKey(), EMPTY))));
  }

  /** Writes a segment to a closed journal and increments the version of the journal's row. */
  Either<BillFailure, Boolean> appendToClosed(Row journal, Mutation segment) {
    Mutation touch = new Mutation.Put(journal.key(), journal.value());
    return commit(new Transaction(List.of(unchanged(journal)), List.of(segment, touch)));
  }

  private Either<BillFailure, Boolean> commit(Transaction transaction) {
    return table
        .commit(transaction)
        .mapLeft(JournalTable::unavailable)
        .map(CommitResult.Committed.class::isInstance);
  }

  static Condition unchanged(Row row) {
    return new Condition.VersionIs(row.key(), row.version());
  }

  static BillFailure unavailable(PlatformFailure failure) {
    return new BillFailure.StoreUnavailable(failure.reason());
  }

  /** A segment to write and the row version of its open journal. Immutable. */
  record Append(PreparedSegment segment, long journalVersion) {}
}
