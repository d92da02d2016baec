package org.guavagw.gateway.spi;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;

/**
 * The decoded status line and headers of a backend server's answer. Immutable.
 *
 * @param requestId id of the request that it belongs to; empty if it states none
 * @param signed whether the answer carries a signature of the backend server
 * @param notExecuted whether the backend server states that it did not execute the request
 * @param confidence confidence of the model in its answer, in percent
 * @param encoded whether the body has a content encoding, which the gateway does not request
 * @param keepAliveSeconds maximum idle time of the connection
 * @param leaving whether the backend server says that it is about to stop
 * @param retryAfter time for which the backend server wants no further request from this entry
 * @param unreadableRetryAfter such a time that cannot be read, as it was received
 * @param requestsPerSecond rate of requests of all entries together that the backend server takes,
 *     for as long as its answers state it
 * @param unreadableRequestsPerSecond such a rate that cannot be read, as it was received
 * @param toleratedRejections rejections in a second above which the backend server falls over, for
 *     as long as its answers state it
 * @param unreadableToleratedRejections such a number that cannot be read, as it was received
 */
public record AnswerHead(
    int status,
    String requestId,
    boolean signed,
    boolean notExecuted,
    OptionalInt confidence,
    boolean encoded,
    OptionalInt keepAliveSeconds,
    boolean leaving,
    Optional<Duration> retryAfter,
    Optional<String> unreadableRetryAfter,
    OptionalDouble requestsPerSecond,
    Optional<String> unreadableRequestsPerSecond,
    OptionalDouble toleratedRejections,
    Optional<String> unreadableToleratedRejections) {

  /** Returns whether the status is in the 2xx range. */
  public boolean success() {
    return status >= 200 && status < 300;
  }
}
