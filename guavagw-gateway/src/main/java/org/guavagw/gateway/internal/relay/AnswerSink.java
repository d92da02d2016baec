package org.guavagw.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Sends the answer to a caller. Traffic thread only.
 *
 * <p>Invariant: a chunked answer ends with {@code finish} only if it is complete.
 */
interface AnswerSink {
  /** Records what is held of the answer, which may lead to its being dropped at once. */
  void setHeldAnswer(HeldAnswer held);

  /** Sends a buffered answer and takes ownership of its body. */
  void send(int status, HttpHeaders headers, ByteBuf body);

  /** Starts a chunked answer. */
  void startChunked(int status, HttpHeaders headers);

  /**
   * Sends a chunk and takes ownership of it. Returns whether more can be written without exceeding
   * the write buffer limit.
   */
  boolean write(ByteBuf chunk);

  /** Ends a chunked answer. */
  void finish();

  /** Closes the connection, so that the caller does not take the answer for complete. */
  void abort();
}
