package org.guavagw.internal.billing;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Queue of other entries' segments that this entry writes for them. Thread-safe; never blocks. */
final class PeerSegmentQueue {
  private final Deque<QueuedSegment> queue = new ArrayDeque<>();

  synchronized CompletableFuture<Either<BillFailure, Void>> add(PreparedSegment segment) {
    QueuedSegment queued = new QueuedSegment(segment, new CompletableFuture<>());
    queue.addLast(queued);
    return queued.done;
  }

  synchronized boolean isEmpty() {
    return queue.isEmpty();
  }

  synchronized List<PreparedSegment> peek(int max) {
    return queue.stream().limit(max).map(QueuedSegment::segment).toList();
  }

  /**
   * Applies write results to the first segments of the queue. Segments that the table service could
   * not take are queued again.
   */
  void completeFirst(List<Either<BillFailure, Void>> results) {
    List<QueuedSegment> removed = removeFirst(results.size());
    for (int i = 0; i < results.size(); i++) {
      complete(removed.get(i), results.get(i));
    }
  }

  private synchronized List<QueuedSegment> removeFirst(int count) {
    List<QueuedSegment> removed = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      removed.add(queue.removeFirst());
    }
    return removed;
  }

  private void complete(QueuedSegment queued, Either<BillFailure, Void> result) {
    if (result.isLeft() && result.getLeft() instanceof BillFailure.StoreUnavailable) {
      requeue(queued);
      return;
    }
    queued.done.complete(result);
  }

  private synchronized void requeue(QueuedSegment queued) {
    queue.addLast(queued);
  }

  /** A queued segment and the future of its write. Immutable except for the future. */
  private record QueuedSegment(
      PreparedSegment segment, CompletableFuture<Either<BillFailure, Void>> done) {}
}
