package org.guavagw.internal.billing;

/** Why a write of bills had no effect. Immutable. */
public sealed interface BillFailure {
  /**
   * The table service was unreachable or the outcome is unknown. The same write may be repeated.
   */
  record StoreUnavailable(String reason) implements BillFailure {}

  /** The journal accepts no more segments from its owner. The sweeper bills the intents in it. */
  record JournalClosed(JournalId journal) implements BillFailure {}

  /** This process does not hold the lease that the work needs. */
  record NotHolder() implements BillFailure {}
}
