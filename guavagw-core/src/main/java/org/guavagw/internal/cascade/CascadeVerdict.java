package org.guavagw.internal.cascade;

/** Decision after an answer. Immutable. */
public sealed interface CascadeVerdict {
  /** Sends the answer with this index. */
  record Accept(int answer, AcceptReason reason) implements CascadeVerdict {}

  /** Attempts a further step. */
  record Escalate(PlannedStep next, AcceptReason judgedBy) implements CascadeVerdict {}

  /** Sends the answer with this index although a further step might have improved it. */
  record Stop(int answer, StopReason reason) implements CascadeVerdict {}
}
