package org.guavagw.internal.placement;

import org.guavagw.config.BackendServerConfig;

/**
 * The backend server that was chosen. Immutable.
 *
 * @param needsPermit whether the backend server counts as cold, so that a permit is needed before
 *     work is sent to it
 * @param full whether the adaptive limit of this entry is used up there
 * @param load estimated work at the backend server relative to its slots
 */
public record Placement(
    BackendServerConfig server, boolean needsPermit, boolean full, double load, Reason reason) {
  /** What decided the choice. */
  public enum Reason {
    /** The least loaded of a local sample. */
    LOCAL_LOAD,
    /** It probably holds the prompt prefix. */
    PREFIX_CACHE,
    /** The local data centre has nothing with room. */
    SPILL
  }
}
