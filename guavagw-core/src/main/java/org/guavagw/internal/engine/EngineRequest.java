package org.guavagw.internal.engine;

import java.time.Duration;

/**
 * A request as one backend server gets it. The array must not be changed.
 *
 * @param body chat completion request in JSON, with the model and version in place
 * @param resumeOffset number of chunks already received from an earlier connection, else 0
 */
public record EngineRequest(String requestId, byte[] body, Duration timeLeft, int resumeOffset) {}
