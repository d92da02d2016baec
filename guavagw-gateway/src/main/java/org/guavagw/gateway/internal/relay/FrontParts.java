package org.guavagw.gateway.internal.relay;

import java.util.Set;
import java.util.function.Supplier;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.model.CallerLimits;
import org.guavagw.internal.lifecycle.InFlightRequests;

/**
 * What all connections of callers share.
 *
 * @param connections open connections; traffic thread only
 */
record FrontParts(
    ExchangeParts exchanges,
    Supplier<CallerLimits> limits,
    Set<CallerConnection> connections,
    Shutdown shutdown,
    InFlightRequests inFlight,
    EventLog log) {}
