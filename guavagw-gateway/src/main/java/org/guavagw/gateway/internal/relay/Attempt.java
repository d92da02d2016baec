package org.guavagw.gateway.internal.relay;

/** Controls one sending of a request to a backend server. Traffic thread only. */
interface Attempt {
  /**
   * Cancels the attempt and closes its connection, so that the backend server stops processing it.
   */
  void cancel();

  /** Pauses or resumes reading the answer. */
  void setReading(boolean reading);
}
