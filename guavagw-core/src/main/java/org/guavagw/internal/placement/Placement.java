package org.guavagw.internal.placement;

import org.guavagw.config.BackendServerConfig;

/**
 * Choice of a backend server. Immutable.
 *
 * @param needsPermit whether the backend server counts as cold, so that a permit is required before
 *     work is sent to it
 * @param full whether the backend server has no free slot or this entry's adaptive limit for it is
 *     reached
 * @param load estimated number of requests at the backend server relative to its slots
 */
public record Placement(
    BackendServerConfig server, boolean needsPermit, boolean full, double load, Reason reason) {
  /** Main reason for the choice. */
  public enum Reason {
    /** Lowest load in a sample of the local data centre. */
    LOCAL_LOAD,
    /** The backend server probably has the prompt prefix in its cache. */
    PREFIX_CACHE,
    /** The local data centre has no backend server with free capacity. */
    SPILL
  }
}
