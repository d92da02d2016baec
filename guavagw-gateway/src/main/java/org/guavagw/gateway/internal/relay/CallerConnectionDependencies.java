package org.guavagw.gateway.internal.relay;

import java.util.Set;
import java.util.function.Supplier;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.memory.MemoryAccount;
import org.guavagw.gateway.model.CallerLimits;
import org.guavagw.internal.lifecycle.InFlightRequests;

/**
 * Dependencies that all connections of callers share.
 *
 * @param fromEntries whether the connections are those of entries that forward requests
 * @param connections open connections; traffic thread only
 * @param memory what all connections hold
 * @param unanswered records requests whose connection closes before their answer is complete
 */
record CallerConnectionDependencies(
    ExchangeDependencies exchangeDependencies,
    boolean fromEntries,
    Supplier<CallerLimits> limits,
    Set<CallerConnection> connections,
    PendingReadBarrier readBarrier,
    GracefulShutdown shutdown,
    InFlightRequests inFlight,
    MemoryAccount memory,
    UnansweredRequestLog unanswered,
    EventLog log) {
  /** Returns the same dependencies for connections of entries that forward requests. */
  CallerConnectionDependencies forEntries() {
    return new CallerConnectionDependencies(
        exchangeDependencies,
        true,
        limits,
        connections,
        readBarrier,
        shutdown,
        inFlight,
        memory,
        unanswered,
        log);
  }
}
