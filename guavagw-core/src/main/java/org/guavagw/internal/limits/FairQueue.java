package org.guavagw.internal.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Start-time fair queue: the team that has received the least work relative to its weight is next,
 * and within a team the oldest request. A team is charged for admitted requests, not for queued
 * ones. Not thread-safe.
 */
final class FairQueue {
  private final Map<String, TeamQueue> teams = new HashMap<>();
  private double virtualTime;
  private int size;

  int size() {
    return size;
  }

  /**
   * Returns approximately how many requests would be served before this one if it were added now.
   */
  int countAhead(AdmissionRequest request) {
    TeamQueue own = teams.get(request.team());
    double startTag = own == null ? virtualTime : own.startTagOfNew(request, virtualTime);
    return teams.values().stream().mapToInt(t -> t.countStartingBy(startTag)).sum();
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
      if (!team.isEmpty() && (first == null || team.startTag() < first.startTag())) {
        first = team;
      }
    }
    if (first == null) {
      throw new IllegalStateException("queue is empty");
    }
    virtualTime = Math.max(virtualTime, first.startTag());
    size--;
    return first.poll();
  }

  /**
   * Charges the request's team for its work. When the queue is empty, all teams start equal again.
   */
  void charge(AdmissionRequest request) {
    teams.get(request.team()).charge(request);
    if (size == 0) {
      teams.clear();
    }
  }

  /**
   * Returns the newest request of the team with the most queued requests relative to its weight.
   */
  Optional<Admission> newestOfLargestTeam() {
    TeamQueue largest = null;
    for (TeamQueue team : teams.values()) {
      boolean larger = !team.isEmpty() && queued(team) > queued(largest);
      largest = larger ? team : largest;
    }
    return Optional.ofNullable(largest).map(t -> t.queued().peekLast());
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
    return teams.values().stream().flatMap(t -> t.queued().stream()).toList();
  }

  private static double queued(TeamQueue team) {
    return team == null || team.isEmpty() ? 0 : team.queuedPerWeight();
  }
}
