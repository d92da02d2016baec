package org.guavagw.internal.once;

/** What a claim found. Only {@link Claimed} permits a dispatch. Immutable. */
public sealed interface ClaimResult {
  /** The call is this request's to dispatch, once. */
  record Claimed(OnceClaim claim) implements ClaimResult {}

  /** The call ran; this is its answer. */
  record Replay(StoredOutcome outcome) implements ClaimResult {}

  /** Another request holds the claim and may still answer. */
  record InProgress(String requestId) implements ClaimResult {}

  /** Another request held the claim and its entry is gone; whether the call ran is unknown. */
  record OutcomeUnknown(String requestId) implements ClaimResult {}

  /** The key belongs to a different call. */
  record KeyReused() implements ClaimResult {}
}
