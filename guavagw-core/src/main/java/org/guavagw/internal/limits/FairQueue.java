package org.guavagw.internal.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Start-time fair queue: the team that has received the least work for its weight goes first, and
 * within a team the oldest request. A team is charged for what runs, not for what waits. Not
 * thread-safe.
 */
final class FairQueue {
  private final Map<String, TeamQueue> teams = new HashMap<>();
  private double virtualTime;
  private int size;

  int size() {
    return size;
  }

  /** Requests that would go before this one if it were added now, approximately. */
  int ahead(AdmissionRequest request) {
    TeamQueue own = teams.get(request.team());
    double tag = own == null ? virtualTime : own.tagBehindAll(request, virtualTime);
    return teams.values().stream().mapToInt(t -> t.dueUntil(tag)).sum();
  }

  void add(Admission admission) {
    String team = admission.request().team();
    teams.computeIfAbsent(team, t -> new TeamQueue()).add(admission, virtualTime);
    size++;
  }

  /** Removes and returns the next request, not yet charged; the queue must not be empty. */
  Admission poll() {
    TeamQueue first = null;
    for (TeamQueue team : teams.values()) {
      if (!team.isEmpty() && (first == null || team.nextTag() < first.nextTag())) {
        first = team;
      }
    }
    if (first == null) {
      throw new IllegalStateException("queue is empty");
    }
    virtualTime = Math.max(virtualTime, first.nextTag());
    size--;
    return first.poll();
  }

  /** Charges the request's team for its work; once nothing waits, all teams are equal again. */
  void charge(AdmissionRequest request) {
    teams.get(request.team()).charge(request);
    if (size == 0) {
      teams.clear();
    }
  }

  /** The newest request of the team that queues most for its weight. */
  Optional<Admission> newestOfLargestTeam() {
    TeamQueue largest = null;
    for (TeamQueue team : teams.values()) {
      boolean larger = !team.isEmpty() && queued(team) > queued(largest);
      largest = larger ? team : largest;
    }
    return Optional.ofNullable(largest).map(t -> t.waiting().peekLast());
  }

  double queuedPerWeight(AdmissionRequest request) {
    return queued(teams.get(request.team()));
  }

  void remove(Admission admission) {
    TeamQueue team = teams.get(admission.request().team());
    if (team != null && team.remove(admission)) {
      size--;
    }
  }

  List<Admission> all() {
    return teams.values().stream().flatMap(t -> t.waiting().stream()).toList();
  }

  private static double queued(TeamQueue team) {
    return team == null || team.isEmpty() ? 0 : team.queuedPerWeight();
  }
}
