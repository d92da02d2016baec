package org.guavagw.standins.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.guavagw.config.VersionRef;

/**
 * One run of a request at a backend server. Immutable.
 *
 * @param callTag tag in the prompt that names the call of the caller
 * @param resumeOffset chunk behind which the run continued an earlier one; 0 for a run from the
 *     start
 * @param waited time between arrival and start
 * @param end empty while under way
 * @param cold whether the engine was cold when the run started
 * @param concurrency requests that ran at the start, this one included
 * @param coldSlots requests that the engine takes at once while cold
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
