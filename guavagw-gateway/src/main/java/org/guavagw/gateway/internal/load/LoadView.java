package org.guavagw.gateway.internal.load;

import org.guavagw.gateway.model.BackendServer;

/**
 * The load of backend servers from all entries, as far as this entry knows it.
 *
 * <p>One component owns the state behind a view; a decision reads snapshots and changes nothing.
 * State belongs to an incarnation, so a backend server that has restarted begins without any.
 * Confined to the traffic thread.
 */
public interface LoadView {
  /** Returns the load of a backend server at a monotonic time. */
  ServerSnapshot at(BackendServer server, long nowNanos);
}
