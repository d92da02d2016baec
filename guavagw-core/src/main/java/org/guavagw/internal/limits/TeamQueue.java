package org.guavagw.internal.limits;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/**
 * One team's queued items with its start tag of fair queueing, sorted by a comparator and, where
 * that makes no difference, by age. Not thread-safe.
 */
final class TeamQueue<T extends FairShareItem> {
  private final Comparator<? super T> order;
  private final List<T> queued = new ArrayList<>();
  private final int maxCredit;
  private double startTag;

  TeamQueue(Comparator<? super T> order, int maxCredit) {
    this.order = order;
    this.maxCredit = maxCredit;
  }

  /** Returns the virtual start time of the team's first item. */
  double startTag() {
    return startTag;
  }

  boolean isEmpty() {
    return queued.isEmpty();
  }

  int size() {
    return queued.size();
  }

  List<T> queued() {
    return Collections.unmodifiableList(queued);
  }

  T first() {
    return queued.get(0);
  }

  T last() {
    return queued.get(queued.size() - 1);
  }

  void add(T item, double virtualTime) {
    if (queued.isEmpty()) {
      startTag = Math.max(startTag, earliestStartTag(item, virtualTime));
    }
    queued.add(countBefore(item), item);
  }

  /** Returns how many queued items would be before this one if it were added now. */
  int countBefore(T item) {
    int index = queued.size();
    while (index > 0 && order.compare(queued.get(index - 1), item) > 0) {
      index--;
    }
    return index;
  }

  T poll() {
    return queued.remove(0);
  }

  void charge(T item) {
    startTag += charge(item, 1);
  }

  boolean remove(T item) {
    if (!queued.isEmpty() && last() == item) {
      queued.remove(queued.size() - 1);
      return true;
    }
    return queued.remove(item);
  }

  double queuedPerWeight() {
    return (double) queued.size() / first().weight();
  }

  /** Returns the virtual start time of an item added behind all queued ones. */
  double startTagOfNew(T item, double virtualTime) {
    return queued.isEmpty()
        ? Math.max(startTag, earliestStartTag(item, virtualTime))
        : startTag + charge(item, queued.size());
  }

  /** Returns the start tag of a team that has been idle, which has some work to its credit. */
  private double earliestStartTag(T item, double virtualTime) {
    return virtualTime - charge(item, maxCredit);
  }

  /** Returns approximately how many queued items start up to the given virtual time. */
  int countStartingBy(double tag) {
    if (queued.isEmpty() || startTag > tag) {
      return 0;
    }
    double chargePerItem = charge(first(), 1);
    return (int) Math.min(queued.size(), Math.floor((tag - startTag) / chargePerItem) + 1);
  }

  private double charge(T item, int count) {
    return count * item.cost() / item.weight();
  }
}
