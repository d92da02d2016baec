package org.guavagw.internal.billing;

/** Why a write of bills did not take effect. Immutable. */
public sealed interface BillFailure {
  /** The table service could not be asked, or did not say; the same write may be repeated. */
  record StoreUnavailable(String reason) implements BillFailure {}

  /** The journal takes no more segments from its owner; the sweeper bills what it holds. */
  record JournalClosed(JournalId journal) implements BillFailure {}

  /** The lease that the work needs is not held. */
  record NotHolder() implements BillFailure {}
}
