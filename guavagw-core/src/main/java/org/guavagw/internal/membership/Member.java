package org.guavagw.internal.membership;

/**
 * An entry as seen by this one. Immutable.
 *
 * @param incarnation 0 until a record made by the member itself has arrived
 */
public record Member(
    String id,
    String dataCentre,
    String host,
    int controlPort,
    long incarnation,
    MemberState state) {
  /** Returns whether the member may be given new work. */
  public boolean isAlive() {
    return state == MemberState.ALIVE;
  }
}
