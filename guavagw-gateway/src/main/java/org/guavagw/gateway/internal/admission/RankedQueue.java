package org.guavagw.gateway.internal.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.guavagw.internal.limits.FairQueue;

/**
 * The waiting requests of a service: by rank, within a rank by fair shares of the teams, and within
 * a team by the latest start that is still in time. Traffic thread only.
 *
 * <p>Invariants: a request is held at most once; number and size are those of the held requests.
 */
final class RankedQueue {
  /**
   * Requests by which a team that was idle may go ahead, so that a team whose requests come
   * unevenly gets its share too.
   */
  private static final int MAX_CREDIT = 4;

  private final TreeMap<Integer, FairQueue<QueuedRequest>> byRank = new TreeMap<>();
  private int size;
  private long bytes;

  int size() {
    return size;
  }

  boolean isEmpty() {
    return size == 0;
  }

  long bytes() {
    return bytes;
  }

  void add(QueuedRequest request) {
    byRank
        .computeIfAbsent(
            request.traits().rank(),
            r -> new FairQueue<>(QueuedRequest.BY_LATEST_START, MAX_CREDIT))
        .add(request);
    request.setQueued(true);
    size++;
    bytes += request.traits().bytes();
  }

  /** Removes a request that ends without having started; does nothing if it is not held. */
  void remove(QueuedRequest request) {
    if (!request.isQueued()) {
      return;
    }
    byRank.get(request.traits().rank()).remove(request);
    onRemoved(request);
  }

  /** Removes a held request that starts, and charges its team. */
  void start(QueuedRequest request) {
    byRank.get(request.traits().rank()).start(request);
    onRemoved(request);
  }

  private void onRemoved(QueuedRequest request) {
    request.setQueued(false);
    size--;
    bytes -= request.traits().bytes();
    if (size == 0) {
      byRank.clear();
    }
  }

  /** Returns the first request of each team, in the order in which they are to start. */
  List<QueuedRequest> heads() {
    List<QueuedRequest> heads = new ArrayList<>();
    byRank.values().forEach(q -> heads.addAll(q.heads()));
    return heads;
  }

  /** Returns how many requests of more urgent ranks wait. */
  int countMoreUrgent(int rank) {
    return byRank.headMap(rank).values().stream().mapToInt(FairQueue::size).sum();
  }

  /** Returns how many requests of its rank and team are before a request. */
  int countAheadInTeam(QueuedRequest request) {
    FairQueue<QueuedRequest> queue = byRank.get(request.traits().rank());
    return queue == null ? 0 : queue.countAheadInTeam(request);
  }

  /**
   * Returns the request that gives way to a new one if the queue is full: the last one of the team
   * that waits most, in the least urgent rank; empty if the new one has no stronger claim.
   */
  Optional<QueuedRequest> weakerThan(QueuedRequest request) {
    int rank = request.traits().rank();
    for (var entry : byRank.descendingMap().headMap(rank, true).entrySet()) {
      FairQueue<QueuedRequest> queue = entry.getValue();
      Optional<QueuedRequest> newest = queue.newestOfLargestTeam();
      if (newest.isEmpty()) {
        continue;
      }
      boolean weaker =
          entry.getKey() > rank
              || queue.queuedPerWeight(newest.get()) > queue.queuedPerWeight(request) + 1;
      return weaker ? newest : Optional.empty();
    }
    return Optional.empty();
  }

  /** Returns a copy of all held requests. */
  List<QueuedRequest> all() {
    List<QueuedRequest> all = new ArrayList<>(size);
    byRank.values().forEach(q -> all.addAll(q.all()));
    return all;
  }
}
