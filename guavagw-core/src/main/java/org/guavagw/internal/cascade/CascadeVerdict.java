package org.guavagw.internal.cascade;

/** What to do after an answer. Immutable. */
public sealed interface CascadeVerdict {
  /** Send the answer at this place in the list of answers. */
  record Accept(int answer, AcceptReason reason) implements CascadeVerdict {}

  /** Try a further step. */
  record Escalate(PlannedStep next, AcceptReason judgedBy) implements CascadeVerdict {}

  /** Send the answer at this place although it was not good enough. */
  record Stop(int answer, StopReason reason) implements CascadeVerdict {}
}
