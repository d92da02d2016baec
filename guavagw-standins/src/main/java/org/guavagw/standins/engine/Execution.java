package org.guavagw.standins.engine;

import java.time.Instant;
import java.util.Optional;
import org.guavagw.config.VersionRef;

/**
 * One run of a request at a backend server. Immutable.
 *
 * @param resumeOffset chunk behind which the run continued an earlier one; 0 for a run from the
 *     start
 * @param end empty while under way
 * @param cold whether the engine was cold when the run started
 * @param concurrency requests that ran at the start, this one included
 */
public record Execution(
    String backendServer,
    String requestId,
    Optional<String> idempotencyKey,
    VersionRef version,
    int resumeOffset,
    Instant start,
    Optional<Instant> end,
    Outcome outcome,
    boolean cold,
    int concurrency) {
  Execution ended(Instant at, Outcome how) {
    return new Execution(
        backendServer,
        requestId,
        idempotencyKey,
        version,
        resumeOffset,
        start,
        Optional.of(at),
        how,
        cold,
        concurrency);
  }
}
