package org.guavagw.internal.once;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.locks.ReentrantLock;
import org.guavagw.platform.CommitResult;
import org.guavagw.platform.Condition;
import org.guavagw.platform.Mutation;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.RowKey;
import org.guavagw.platform.TableService;
import org.guavagw.platform.Transaction;

/**
 * Inserts rows if they do not exist yet, with group commit: many inserts share one transaction.
 *
 * <p>One of the waiting threads commits the inserts of all of them. If rows conflict, the remaining
 * ones are committed again without them. Thread-safe; calls block.
 */
final class ClaimCommitter {
  private final LinkedBlockingQueue<PendingInsert> pending = new LinkedBlockingQueue<>();
  private final ReentrantLock commitLock = new ReentrantLock();
  private final TableService table;
  private final int maxPerTransaction;

  ClaimCommitter(TableService table, int maxPerTransaction) {
    this.table = table;
    this.maxPerTransaction = maxPerTransaction;
  }

  /** Inserts a row if it is absent. Returns whether it was inserted. */
  Either<PlatformFailure, Boolean> insert(RowKey key, byte[] value) {
    PendingInsert insert = new PendingInsert(key, value, new CompletableFuture<>());
    pending.add(insert);
    while (!insert.result.isDone()) {
      commitPending();
    }
    return insert.result.join();
  }

  private void commitPending() {
    commitLock.lock();
    try {
      Map<RowKey, PendingInsert> batch = nextBatch();
      while (!batch.isEmpty()) {
        commit(batch);
      }
    } finally {
      commitLock.unlock();
    }
  }

  private Map<RowKey, PendingInsert> nextBatch() {
    Map<RowKey, PendingInsert> batch = new LinkedHashMap<>();
    List<PendingInsert> sameKey = new ArrayList<>();
    PendingInsert next = pending.poll();
    while (next != null) {
      if (batch.putIfAbsent(next.key, next) != null) {
        sameKey.add(next);
      }
      next = batch.size() < maxPerTransaction ? pending.poll() : null;
    }
    pending.addAll(sameKey);
    return batch;
  }

  private void commit(Map<RowKey, PendingInsert> batch) {
    Either<PlatformFailure, CommitResult> result = table.commit(transaction(batch.values()));
    if (result.isLeft()) {
      batch.values().forEach(i -> i.result.complete(Either.left(result.getLeft())));
      batch.clear();
      return;
    }
    if (result.get() instanceof CommitResult.Conflict conflict && !conflict.keys().isEmpty()) {
      Set<RowKey> existing = new HashSet<>(conflict.keys());
      existing.forEach(k -> batch.remove(k).result.complete(Either.right(false)));
      return;
    }
    batch.values().forEach(i -> i.result.complete(Either.right(true)));
    batch.clear();
  }

  private static Transaction transaction(Collection<PendingInsert> batch) {
    List<Condition> conditions = new ArrayList<>();
    List<Mutation> mutations = new ArrayList<>();
    for (PendingInsert insert : batch) {
      conditions.add(new Condition.Absent(insert.key));
      mutations.add(new Mutation.Put(insert.key, insert.value));
    }
    return new Transaction(conditions, mutations);
  }

  /** The insert of one waiting thread. Immutable except for the result. */
  private record PendingInsert(
      RowKey key, byte[] value, CompletableFuture<Either<PlatformFailure, Boolean>> result) {}
}
