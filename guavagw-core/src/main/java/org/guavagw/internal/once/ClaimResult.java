package org.guavagw.internal.once;

/** Result of a claim. Only {@link Claimed} permits a dispatch. Immutable. */
public sealed interface ClaimResult {
  /** This request may dispatch the call, once. */
  record Claimed(IdempotencyClaim claim) implements ClaimResult {}

  /** The call has run before; contains its stored answer. */
  record Replay(StoredOutcome outcome) implements ClaimResult {}

  /** Another request holds the claim and may still complete it. */
  record InProgress(String requestId) implements ClaimResult {}

  /**
   * Another request holds the claim, but its entry has ended or the claim is too old. Whether the
   * call ran is unknown.
   */
  record OutcomeUnknown(String requestId) implements ClaimResult {}

  /** The key was used for a different call. */
  record KeyReused() implements ClaimResult {}
}
