package org.guavagw.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Where the answer to a caller goes. Traffic thread only.
 *
 * <p>Invariant: an answer that was begun ends with {@code finish} only if it is complete.
 */
interface AnswerSink {
  /** Sends a whole answer and takes the body. */
  void answer(int status, HttpHeaders headers, ByteBuf body);

  /** Begins an answer in chunks. */
  void begin(int status, HttpHeaders headers);

  /** Sends a piece and takes it; says whether more may follow at once. */
  boolean write(ByteBuf piece);

  /** Ends an answer in chunks. */
  void finish();

  /** Breaks the connection off, so that the answer cannot look complete. */
  void abort();
}
