package org.guavagw.gateway.internal.placement;

/**
 * The estimated prefill of one attempt at its backend server. Immutable.
 *
 * @param tokens prompt tokens that are probably not in the prefix cache
 * @param work work of the prefill, in tokens
 * @param millis prefill time at the speed of the backend server
 * @param fixedMillis time to the first event that does not depend on the prompt
 * @param queueEmpty whether no other prompt was queued there when the attempt was sent
 * @param promisedTokens prompt and expected answer, in tokens
 */
public record PrefillEstimate(
    String model,
    int tokens,
    double work,
    double millis,
    double fixedMillis,
    boolean queueEmpty,
    long promisedTokens) {}
