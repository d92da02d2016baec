package org.guavagw.internal.permit;

/** Leave to have one request under way at a backend server. Thread-safe. */
public interface Permit extends AutoCloseable {
  /** Whether the permit certainly still counts; ask right before sending. */
  boolean isSafe();

  /** Gives the permit back once the request has ended; later calls do nothing. */
  @Override
  void close();
}
