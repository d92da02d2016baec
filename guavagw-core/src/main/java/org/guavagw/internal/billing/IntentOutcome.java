package org.guavagw.internal.billing;

/** Result of recording an intent: whether the request may be served. Immutable. */
public sealed interface IntentOutcome {
  /** The intent is stored in the table service. */
  record Durable() implements IntentOutcome {}

  /**
   * The table service is slow or unavailable. The intent stays in memory and the request is served.
   */
  record Deferred(String reason) implements IntentOutcome {}

  /**
   * The limit of requests without a durable bill is reached. The request must not be dispatched.
   */
  record Refused(String reason) implements IntentOutcome {}

  /** Returns whether the answer may be released to the caller. */
  default boolean mayServe() {
    return !(this instanceof Refused);
  }
}
