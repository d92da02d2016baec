package org.guavagw.internal.permit;

/** Permission to have one request in flight at a backend server. Thread-safe. */
public interface Permit extends AutoCloseable {
  /**
   * Returns whether the permit is certainly still valid. Must be checked directly before sending.
   */
  boolean isSafe();

  /** Gives the permit back after the request has ended. Later calls have no effect. */
  @Override
  void close();
}
