package org.guavagw.standins.engine;

/** State or outcome of an execution. */
public enum Outcome {
  /** The execution has not ended. */
  RUNNING,
  /** The execution ran to its end, whether or not the answer arrived. */
  FINISHED,
  /** The caller cancelled it or closed the connection. */
  CANCELLED,
  /** An injected fault or a crash ended it. */
  FAILED
}
