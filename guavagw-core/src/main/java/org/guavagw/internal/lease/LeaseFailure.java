package org.guavagw.internal.lease;

/** Why a lease was not acquired. Immutable. */
public sealed interface LeaseFailure {
  /** Another process holds the lease. */
  record HeldByOther(String holder) implements LeaseFailure {}

  /** The table service is unavailable. */
  record StoreUnavailable(String reason) implements LeaseFailure {}
}
