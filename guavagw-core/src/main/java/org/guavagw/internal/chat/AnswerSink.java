package org.guavagw.internal.chat;

import org.guavagw.internal.engine.EngineChunk;
import org.guavagw.internal.engine.TokenUsage;

/**
 * Receives an answer for the caller. Confined to the request's thread.
 *
 * <p>Order of calls: {@link #begin} once, {@link #write} for each chunk, {@link #end} once if the
 * answer is complete.
 */
public interface AnswerSink {
  /** Starts the answer. */
  void begin(AnswerMetadata metadata);

  /** Receives a chunk. */
  void write(EngineChunk chunk);

  /** Marks the answer as complete. */
  void end(TokenUsage usage);

  /** Returns whether the answer has started; then no other attempt may answer the request. */
  boolean hasBegun();

  /** Returns whether the caller has disconnected. */
  boolean isCallerDisconnected();
}
