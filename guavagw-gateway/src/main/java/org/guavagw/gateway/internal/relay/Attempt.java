package org.guavagw.gateway.internal.relay;

/** One sending of a request to a backend server, as its owner controls it. Traffic thread only. */
interface Attempt {
  /** Gives the attempt up and closes its connection, so that the backend server stops. */
  void cancel();

  /** Stops or resumes reading the answer. */
  void setReading(boolean reading);
}
