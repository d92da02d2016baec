package org.guavagw.gateway.internal.relay;

/**
 * Bounds what a backend server may send before the answer to a request: interim answers and answers
 * to other requests, which are read and ignored. Traffic thread only.
 */
final class IgnoredAnswers {
  private static final int MAX_ANSWERS = 100;

  /** As much as the body of one answer that is sent whole. */
  private static final long MAX_BODY_BYTES = 8 << 20;

  private int answers;
  private long bodyBytes;

  /** Counts the head of an answer. */
  void addHead() {
    answers++;
  }

  /** Counts a part of the body of an answer. */
  void addBody(int bytes) {
    bodyBytes += bytes;
  }

  /** Returns whether the backend server has sent too much. */
  boolean exceedLimit() {
    return answers > MAX_ANSWERS || bodyBytes > MAX_BODY_BYTES;
  }
}
