package org.guavagw.internal.lease;

/** Why a lease was not acquired. Immutable. */
public sealed interface LeaseFailure {
  /** Another process holds the name. */
  record HeldByOther(String holder) implements LeaseFailure {}

  /** The table service could not be asked. */
  record StoreUnavailable(String reason) implements LeaseFailure {}
}
