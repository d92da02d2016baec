package org.guavagw.internal.limits;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Start-time fair queue: the team that has received the least work relative to its weight is next,
 * and within a team the first item in the order of a comparator. A team is charged for items that
 * start, not for queued ones. Not thread-safe.
 */
public final class FairQueue<T extends FairShareItem> {
  private final Map<String, TeamQueue<T>> teams = new HashMap<>();
  private final Comparator<? super T> order;
  private final int maxCredit;
  private double virtualTime;
  private int size;

  /** Creates a queue that serves each team's items in order of their age. */
  public FairQueue() {
    this(Comparator.comparing(item -> 0), 0);
  }

  /**
   * Creates a queue that serves each team's items in an order.
   *
   * @param maxCredit items by which a team that was idle may go ahead of the others
   */
  public FairQueue(Comparator<? super T> order, int maxCredit) {
    this.order = order;
    this.maxCredit = maxCredit;
  }

  /** Returns the number of queued items. */
  public int size() {
    return size;
  }

  /** Returns approximately how many items would be served before this one if it were added now. */
  int countAhead(T item) {
    TeamQueue<T> own = teams.get(item.team());
    double startTag = own == null ? virtualTime : own.startTagOfNew(item, virtualTime);
    return teams.values().stream().mapToInt(t -> t.countStartingBy(startTag)).sum();
  }

  /** Returns how many items of the same team would be served before this one if added now. */
  public int countAheadInTeam(T item) {
    TeamQueue<T> own = teams.get(item.team());
    return own == null ? 0 : own.countBefore(item);
  }

  /** Adds an item. */
  public void add(T item) {
    teams
        .computeIfAbsent(item.team(), t -> new TeamQueue<>(order, maxCredit))
        .add(item, virtualTime);
    size++;
  }

  /** Removes and returns the next item, not yet charged; the queue must not be empty. */
  T poll() {
    TeamQueue<T> first = null;
    for (TeamQueue<T> team : teams.values()) {
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

  /** Returns the first item of each team in the order in which the teams are served. */
  public List<T> heads() {
    return teams.values().stream()
        .filter(t -> !t.isEmpty())
        .sorted(Comparator.comparingDouble(TeamQueue::startTag))
        .map(TeamQueue::first)
        .toList();
  }

  /** Removes an item that starts, and charges its team for it. */
  public void start(T item) {
    TeamQueue<T> team = teams.get(item.team());
    if (team == null || !team.remove(item)) {
      throw new IllegalStateException("not queued: " + item);
    }
    virtualTime = Math.max(virtualTime, team.startTag());
    size--;
    charge(item);
  }

  /** Charges the item's team for its work. When the queue is empty, all teams start equal again. */
  void charge(T item) {
    teams.get(item.team()).charge(item);
    if (size == 0) {
      teams.clear();
    }
  }

  /** Returns the last item of the team with the most queued items relative to its weight. */
  public Optional<T> newestOfLargestTeam() {
    TeamQueue<T> largest = null;
    for (TeamQueue<T> team : teams.values()) {
      boolean larger = !team.isEmpty() && queued(team) > queued(largest);
      largest = larger ? team : largest;
    }
    return Optional.ofNullable(largest).map(TeamQueue::last);
  }

  /** Returns how many items of the same team are queued, relative to its weight. */
  public double queuedPerWeight(T item) {
    return queued(teams.get(item.team()));
  }

  /** Removes an item that will not start; does nothing if it is not queued. */
  public void remove(T item) {
    TeamQueue<T> team = teams.get(item.team());
    if (team != null && team.remove(item)) {
      size--;
    }
  }

  /** Returns a copy of all queued items, those of each team in their order. */
  public List<T> all() {
    return teams.values().stream().flatMap(t -> t.queued().stream()).toList();
  }

  private double queued(TeamQueue<T> team) {
    return team == null || team.isEmpty() ? 0 : team.queuedPerWeight();
  }
}
