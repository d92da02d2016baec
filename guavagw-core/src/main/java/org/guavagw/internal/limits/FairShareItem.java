package org.guavagw.internal.limits;

/** What a fair queue needs to know of a queued item. The values never change. */
public interface FairShareItem {
  /** Returns the team that the item is charged to. */
  String team();

  /** Returns the fair-share weight of the team, at least 1. */
  int weight();

  /** Returns the expected work relative to an average item, above 0. */
  double cost();
}
