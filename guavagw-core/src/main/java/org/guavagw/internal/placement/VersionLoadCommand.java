package org.guavagw.internal.placement;

import org.guavagw.config.VersionRef;

/**
 * Command to a backend server to load or unload a version. Immutable.
 *
 * @param fencingNumber fencing number of the lease under which the command was planned
 */
public record VersionLoadCommand(
    Kind kind, String backendId, VersionRef version, long fencingNumber) {
  /** Kind of command. */
  public enum Kind {
    LOAD,
    UNLOAD
  }
}
