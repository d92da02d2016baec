package org.guavagw.internal.limits;

import java.util.ArrayDeque;

/**
 * One team's queued requests, oldest first, with its start tag of fair queueing. Not thread-safe.
 */
final class TeamQueue {
  private final ArrayDeque<Admission> queued = new ArrayDeque<>();
  private double startTag;

  /** Returns the virtual start time of the team's oldest request. */
  double startTag() {
    return startTag;
  }

  boolean isEmpty() {
    return queued.isEmpty();
  }

  int size() {
    return queued.size();
  }

  ArrayDeque<Admission> queued() {
    return queued;
  }

  void add(Admission admission, double virtualTime) {
    if (queued.isEmpty()) {
      startTag = Math.max(startTag, virtualTime);
    }
    queued.addLast(admission);
  }

  Admission poll() {
    return queued.pollFirst();
  }

  void charge(AdmissionRequest request) {
    startTag += charge(request, 1);
  }

  boolean remove(Admission admission) {
    if (queued.peekLast() == admission) {
      queued.pollLast();
      return true;
    }
    return queued.remove(admission);
  }

  double queuedPerWeight() {
    return (double) queued.size() / queued.getFirst().request().weight();
  }

  /** Returns the virtual start time of a request added behind all queued ones. */
  double startTagOfNew(AdmissionRequest request, double virtualTime) {
    return queued.isEmpty()
        ? Math.max(startTag, virtualTime)
        : startTag + charge(request, queued.size());
  }

  /** Returns approximately how many queued requests start up to the given virtual time. */
  int countStartingBy(double tag) {
    if (queued.isEmpty() || startTag > tag) {
      return 0;
    }
    double chargePerRequest = charge(queued.getFirst().request(), 1);
    return (int) Math.min(queued.size(), Math.floor((tag - startTag) / chargePerRequest) + 1);
  }

  private static double charge(AdmissionRequest request, int count) {
    return count * request.cost() / request.weight();
  }
}
