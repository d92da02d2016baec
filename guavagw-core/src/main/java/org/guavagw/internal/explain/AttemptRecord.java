package org.guavagw.internal.explain;

import java.time.Duration;
import org.guavagw.RunState;

/**
 * One dispatch to a backend server. Immutable.
 *
 * @param outcome a stable code of what came of it
 */
public record AttemptRecord(
    String backendServer, String version, String outcome, RunState runState, Duration took) {}
