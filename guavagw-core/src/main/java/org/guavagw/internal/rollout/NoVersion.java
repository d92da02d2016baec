package org.guavagw.internal.rollout;

import org.guavagw.config.VersionRef;

/** Why no version can take a request. Immutable. */
public sealed interface NoVersion {
  /** The configuration does not name the model. */
  record ModelUnknown(String model) implements NoVersion {}

  /** No version of the model that the team may use is in service. */
  record NoneServing(String model) implements NoVersion {}

  /** The session's version is withdrawn and no other can take its place. */
  record WithdrawnWithoutSuccessor(VersionRef version) implements NoVersion {}
}
