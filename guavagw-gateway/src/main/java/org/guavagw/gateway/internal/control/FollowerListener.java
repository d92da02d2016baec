package org.guavagw.gateway.internal.control;

/** Is notified of what the followers of a hub need. Called on the control thread. */
interface FollowerListener {
  /** The first follower needs newer orders than an entry that nobody follows. */
  void onFirstFollower();

  /** A follower asked while the orders of this entry were too old to follow it. */
  void onOutdated();
}
