package org.guavagw.internal.membership;

/** What is known about a member. */
public enum MemberState {
  ALIVE,
  /** Did not answer for some seconds, or its whole data centre was not heard from. */
  SUSPECT,
  /** Announced that it goes, or the platform is about to take it away. */
  LEAVING
}
