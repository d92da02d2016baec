package org.guavagw.internal.config;

/** Why an operation on the configuration history failed. Immutable. */
public sealed interface ConfigFailure {
  /** Another change was accepted since the expected revision, or under the same change id. */
  record Conflict(long currentRevision) implements ConfigFailure {}

  /** The table service did not answer usably; this call accepted no change. */
  record StoreUnavailable(String reason) implements ConfigFailure {}

  /** The change may have been accepted; apply it again with the same id to find out. */
  record OutcomeUnknown(String changeId) implements ConfigFailure {}
}
