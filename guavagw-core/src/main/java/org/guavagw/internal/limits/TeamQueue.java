package org.guavagw.internal.limits;

import java.util.ArrayDeque;

/**
 * One team's waiting requests, oldest first, and the work that the team is due next. Not
 * thread-safe.
 */
final class TeamQueue {
  private final ArrayDeque<Admission> waiting = new ArrayDeque<>();
  private double nextTag;

  /** Virtual time at which the team's oldest request is due. */
  double nextTag() {
    return nextTag;
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  int size() {
    return waiting.size();
  }

  ArrayDeque<Admission> waiting() {
    return waiting;
  }

  void add(Admission admission, double virtualTime) {
    if (waiting.isEmpty()) {
      nextTag = Math.max(nextTag, virtualTime);
    }
    waiting.addLast(admission);
  }

  Admission poll() {
    return waiting.pollFirst();
  }

  void charge(AdmissionRequest request) {
    nextTag += charge(request, 1);
  }

  boolean remove(Admission admission) {
    if (waiting.peekLast() == admission) {
      waiting.pollLast();
      return true;
    }
    return waiting.remove(admission);
  }

  double queuedPerWeight() {
    return (double) waiting.size() / waiting.getFirst().request().weight();
  }

  /** Virtual time at which a request would be due behind those that wait. */
  double tagBehindAll(AdmissionRequest request, double virtualTime) {
    return waiting.isEmpty()
        ? Math.max(nextTag, virtualTime)
        : nextTag + charge(request, waiting.size());
  }

  /** About how many of the waiting requests are due up to a virtual time. */
  int dueUntil(double tag) {
    if (waiting.isEmpty() || nextTag > tag) {
      return 0;
    }
    double each = charge(waiting.getFirst().request(), 1);
    return (int) Math.min(waiting.size(), Math.floor((tag - nextTag) / each) + 1);
  }

  private static double charge(AdmissionRequest request, int count) {
    return count * request.cost() / request.weight();
  }
}
