package org.guavagw.internal.explain;

import java.time.Duration;
import org.guavagw.RunState;

/**
 * One attempt on a backend server. Immutable.
 *
 * @param outcome stable code of the outcome
 */
public record AttemptRecord(
    String backendServer, String version, String outcome, RunState runState, Duration took) {}
