package org.guavagw.internal.billing;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Segments of other entries that wait to be written here. Thread-safe; never blocks. */
final class AdoptedSegments {
  private final Deque<Adopted> waiting = new ArrayDeque<>();

  synchronized CompletableFuture<Either<BillFailure, Void>> add(PreparedSegment segment) {
    Adopted adopted = new Adopted(segment, new CompletableFuture<>());
    waiting.addLast(adopted);
    return adopted.done;
  }

  synchronized boolean isEmpty() {
    return waiting.isEmpty();
  }

  synchronized List<PreparedSegment> first(int max) {
    return waiting.stream().limit(max).map(Adopted::segment).toList();
  }

  /** Takes in the results of the first segments; those that the store did not take stay. */
  void settle(List<Either<BillFailure, Void>> results) {
    List<Adopted> settled = removeFirst(results.size());
    for (int i = 0; i < results.size(); i++) {
      settleOne(settled.get(i), results.get(i));
    }
  }

  private synchronized List<Adopted> removeFirst(int count) {
    List<Adopted> removed = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      removed.add(waiting.removeFirst());
    }
    return removed;
  }

  private void settleOne(Adopted adopted, Either<BillFailure, Void> result) {
    if (result.isLeft() && result.getLeft() instanceof BillFailure.StoreUnavailable) {
      putBack(adopted);
      return;
    }
    adopted.done.complete(result);
  }

  private synchronized void putBack(Adopted adopted) {
    waiting.addLast(adopted);
  }

  /** A segment and the future of its write. Immutable but for the future. */
  private record Adopted(
      PreparedSegment segment, CompletableFuture<Either<BillFailure, Void>> done) {}
}
