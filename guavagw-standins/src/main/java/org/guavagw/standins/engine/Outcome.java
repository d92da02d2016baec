package org.guavagw.standins.engine;

/** How an execution ended. */
public enum Outcome {
  /** Still under way. */
  RUNNING,
  /** It ran to its end, whether or not the answer arrived. */
  FINISHED,
  /** The caller cancelled it or closed the connection. */
  CANCELLED,
  /** A scripted fault ended it. */
  FAILED
}
