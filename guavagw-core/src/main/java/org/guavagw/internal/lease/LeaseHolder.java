package org.guavagw.internal.lease;

/**
 * One life of one process. Immutable.
 *
 * @param incarnation must differ between two lives of a process of the same name
 */
public record LeaseHolder(String name, long incarnation) {
  public LeaseHolder {
    if (name.isEmpty()) {
      throw new IllegalArgumentException("a lease holder needs a name");
    }
  }
}
