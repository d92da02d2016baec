package org.guavagw.internal.engine;

import java.time.Duration;

/**
 * A request as sent to a backend server. The array must not be changed.
 *
 * @param body chat completion request in JSON, addressed to a version
 * @param resumeOffset number of chunks already received over an earlier connection, or 0
 */
public record EngineRequest(String requestId, byte[] body, Duration timeLeft, int resumeOffset) {}
