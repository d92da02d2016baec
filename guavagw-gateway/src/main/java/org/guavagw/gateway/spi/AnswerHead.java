package org.guavagw.gateway.spi;

import java.util.OptionalInt;

/**
 * The head of a backend server's answer. Immutable.
 *
 * @param requestId id of the request that it answers; empty if it names none
 * @param signed whether the backend server vouches for the answer
 * @param notExecuted whether it says that it did not execute the request
 * @param confidence the model's opinion of its answer in percent
 * @param encoded whether the body has an encoding that nobody asked for
 * @param keepAliveSeconds how long the connection may stay idle
 */
public record AnswerHead(
    int status,
    String requestId,
    boolean signed,
    boolean notExecuted,
    OptionalInt confidence,
    boolean encoded,
    OptionalInt keepAliveSeconds) {

  /** Whether the request succeeded. */
  public boolean success() {
    return status >= 200 && status < 300;
  }
}
