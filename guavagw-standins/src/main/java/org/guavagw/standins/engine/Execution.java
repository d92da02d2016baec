package org.guavagw.standins.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.guavagw.config.VersionRef;

/**
 * One execution of a request by a backend server. Immutable.
 *
 * @param callTag tag in the prompt that identifies the call of the caller
 * @param resumeOffset chunk after which the execution continued an earlier one; 0 if it started
 *     from the beginning
 * @param waited time between arrival and start
 * @param end empty while the request runs
 * @param cold whether the engine was cold at the start
 * @param concurrency number of running requests at the start, including this one
 * @param coldSlots maximum number of running requests while the engine is cold
 */
public record Execution(
    String backendServer,
    String requestId,
    Optional<String> idempotencyKey,
    VersionRef version,
    Optional<String> callTag,
    int resumeOffset,
    Duration waited,
    Instant start,
    Optional<Instant> end,
    Outcome outcome,
    boolean cold,
    int concurrency,
    int coldSlots) {
  Execution ended(Instant at, Outcome how) {
    return new Execution(
        backendServer,
        requestId,
        idempotencyKey,
        version,
        callTag,
        resumeOffset,
        waited,
        start,
        Optional.of(at),
        how,
        cold,
        concurrency,
        coldSlots);
  }
}
