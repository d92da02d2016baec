package org.guavagw.gateway.internal.admission;

/**
 * What decides the order of a request among others. Immutable.
 *
 * @param service service that the request is sent to
 * @param team name of its team; empty if callers need no key
 * @param route name of its route
 * @param rank priority of its team, or else of its route; 0 is the most urgent
 * @param cost expected use of backend servers, relative to other requests of the service
 * @param bytes memory that the request holds while it waits
 * @param arrivedNanos monotonic time at which its head arrived
 * @param objectiveNanos monotonic time by which its answer should begin
 * @param deadlineNanos monotonic time by which the caller must have its answer
 */
public record RequestTraits(
    String service,
    String team,
    String route,
    int rank,
    double cost,
    long bytes,
    long arrivedNanos,
    long objectiveNanos,
    long deadlineNanos) {}
