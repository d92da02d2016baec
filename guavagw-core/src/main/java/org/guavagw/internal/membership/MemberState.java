package org.guavagw.internal.membership;

/** State of a member as seen by another entry. */
public enum MemberState {
  ALIVE,
  /** Did not answer for some seconds, or its whole data centre is unresponsive. */
  SUSPECT,
  /** Announced that it is shutting down, or the platform is about to remove its VM. */
  LEAVING
}
