package org.guavagw.internal.lease;

/**
 * Identifies one incarnation of a process. Immutable.
 *
 * @param incarnation must be unique among the incarnations of processes with the same name
 */
public record LeaseHolder(String name, long incarnation) {
  public LeaseHolder {
    if (name.isEmpty()) {
      throw new IllegalArgumentException("the name of a lease holder must not be empty");
    }
  }
}
