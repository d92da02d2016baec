package org.guavagw.internal.billing;

/** Whether a request may be served with regard to its bill. Immutable. */
public sealed interface IntentOutcome {
  /** The intent is in the table service. */
  record Durable() implements IntentOutcome {}

  /** The table service is slow or away; the intent waits in memory and the request is served. */
  record Deferred(String reason) implements IntentOutcome {}

  /** Too much waits already; the request must not be dispatched. */
  record Refused(String reason) implements IntentOutcome {}

  /** Whether the answer may be released to the caller. */
  default boolean mayServe() {
    return !(this instanceof Refused);
  }
}
