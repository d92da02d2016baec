package org.guavagw.gateway.internal.admission;

/**
 * What a decision about a request was based on. Immutable.
 *
 * @param waiting requests of the service that wait at this entry
 * @param running requests of the service that this entry has started and that have not ended
 * @param drainPerSecond rate at which room for requests of the service becomes free; 0 if unknown
 * @param ratePerSecond part of it that the request's team can count on
 * @param waitMillis expected wait; negative if unknown
 * @param allowedMillis wait after which the request would miss its objective
 * @param heldMillis time since the request arrived
 * @param leftMillis time to its deadline
 */
public record QueueState(
    int waiting,
    int running,
    double drainPerSecond,
    double ratePerSecond,
    long waitMillis,
    long allowedMillis,
    long heldMillis,
    long leftMillis) {}
