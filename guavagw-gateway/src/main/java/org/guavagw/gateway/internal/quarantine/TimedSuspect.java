package org.guavagw.gateway.internal.quarantine;

import org.guavagw.gateway.internal.peers.CrashSuspect;

/**
 * A crash suspect and when it was learned. Immutable.
 *
 * @param learnedNanos monotonic time at which it was first learned
 * @param own whether this entry saw it itself
 */
public record TimedSuspect(CrashSuspect suspect, long learnedNanos, boolean own) {}
