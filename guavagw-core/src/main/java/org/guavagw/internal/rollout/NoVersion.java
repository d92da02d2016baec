package org.guavagw.internal.rollout;

import org.guavagw.config.VersionRef;

/** Reason why no version can serve a request. Immutable. */
public sealed interface NoVersion {
  /** The configuration does not contain the model. */
  record ModelUnknown(String model) implements NoVersion {}

  /** The model has no serving version that the team may use. */
  record NoneServing(String model) implements NoVersion {}

  /** The session's version is withdrawn and no other version can replace it. */
  record WithdrawnWithoutSuccessor(VersionRef version) implements NoVersion {}
}
