package org.guavagw.internal.config;

/** Why the configuration history gave no answer. Immutable. */
public sealed interface ConfigFailure {
  /** Another change was accepted since the operator read the configuration. */
  record Conflict(long currentRevision) implements ConfigFailure {}

  /** The table service could not be asked; the change was not accepted by this call. */
  record StoreUnavailable(String reason) implements ConfigFailure {}

  /** The change may have been accepted; apply it again under the same id to find out. */
  record OutcomeUnknown(String changeId) implements ConfigFailure {}
}
