package org.guavagw.internal.membership;

/**
 * An entry as this one knows it. Immutable.
 *
 * @param incarnation 0 until the member itself was heard from
 */
public record Member(
    String id,
    String dataCentre,
    String host,
    int controlPort,
    long incarnation,
    MemberState state) {
  /** Whether new work may be given to the member. */
  public boolean isAlive() {
    return state == MemberState.ALIVE;
  }
}
