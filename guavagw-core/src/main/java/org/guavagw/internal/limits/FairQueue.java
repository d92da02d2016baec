package org.guavagw.internal.limits;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Start-time fair queue: the team that has received the least work for its weight goes first, and
 * within a team the oldest request. Not thread-safe.
 */
final class FairQueue {
  private final Map<String, ArrayDeque<Admission>> byTeam = new HashMap<>();
  private final Map<String, Double> finishTags = new HashMap<>();
  private double virtualTime;
  private int size;

  int size() {
    return size;
  }

  /** Start tag of the team's next request; charges the team for its cost. */
  double tag(AdmissionRequest request) {
    double start = nextTag(request);
    finishTags.put(request.team(), start + request.cost() / request.weight());
    return start;
  }

  /** Requests that would go before this one if it were added now. */
  int ahead(AdmissionRequest request) {
    double tag = nextTag(request);
    int ahead = 0;
    for (ArrayDeque<Admission> queue : byTeam.values()) {
      for (Admission admission : queue) {
        if (admission.startTag() > tag) {
          break;
        }
        ahead++;
      }
    }
    return ahead;
  }

  void add(Admission admission) {
    byTeam.computeIfAbsent(admission.request().team(), t -> new ArrayDeque<>()).add(admission);
    size++;
  }

  /** Removes and returns the next request; the queue must not be empty. */
  Admission poll() {
    Admission first = null;
    for (ArrayDeque<Admission> queue : byTeam.values()) {
      Admission head = queue.peekFirst();
      if (first == null || head.startTag() < first.startTag()) {
        first = head;
      }
    }
    if (first == null) {
      throw new IllegalStateException("queue is empty");
    }
    virtualTime = Math.max(virtualTime, first.startTag());
    remove(first);
    forgetIdleTeams();
    return first;
  }

  /** The newest request of the team that queues most for its weight. */
  Optional<Admission> newestOfLargestTeam() {
    ArrayDeque<Admission> largest = null;
    for (ArrayDeque<Admission> queue : byTeam.values()) {
      if (largest == null || queuedPerWeight(queue) > queuedPerWeight(largest)) {
        largest = queue;
      }
    }
    return Optional.ofNullable(largest).map(ArrayDeque::peekLast);
  }

  double queuedPerWeight(AdmissionRequest request) {
    ArrayDeque<Admission> queue = byTeam.get(request.team());
    return queue == null ? 0 : (double) queue.size() / request.weight();
  }

  void remove(Admission admission) {
    String team = admission.request().team();
    ArrayDeque<Admission> queue = byTeam.get(team);
    if (queue == null || !removeFrom(queue, admission)) {
      return;
    }
    size--;
    if (queue.isEmpty()) {
      byTeam.remove(team);
    }
  }

  /** Gives back the charge of a request that never ran. */
  void refund(Admission admission) {
    AdmissionRequest request = admission.request();
    double charge = request.cost() / request.weight();
    finishTags.computeIfPresent(request.team(), (t, tag) -> tag - charge);
  }

  List<Admission> all() {
    return byTeam.values().stream().flatMap(ArrayDeque::stream).toList();
  }

  private double nextTag(AdmissionRequest request) {
    return Math.max(virtualTime, finishTags.getOrDefault(request.team(), 0.0));
  }

  private static boolean removeFrom(ArrayDeque<Admission> queue, Admission admission) {
    if (queue.peekFirst() == admission) {
      queue.pollFirst();
      return true;
    }
    return queue.removeLastOccurrence(admission);
  }

  private static double queuedPerWeight(ArrayDeque<Admission> queue) {
    return (double) queue.size() / queue.getFirst().request().weight();
  }

  private void forgetIdleTeams() {
    finishTags.entrySet().removeIf(e -> e.getValue() <= virtualTime);
  }
}
