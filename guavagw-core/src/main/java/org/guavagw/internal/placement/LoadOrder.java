package org.guavagw.internal.placement;

import org.guavagw.config.VersionRef;

/**
 * An order to a backend server to change what it has loaded. Immutable.
 *
 * @param fencingNumber of the lease under which the order was planned
 */
public record LoadOrder(Kind kind, String backendId, VersionRef version, long fencingNumber) {
  /** What the backend server shall do. */
  public enum Kind {
    LOAD,
    UNLOAD
  }
}
