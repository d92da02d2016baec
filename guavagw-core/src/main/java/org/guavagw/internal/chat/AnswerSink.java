package org.guavagw.internal.chat;

import org.guavagw.internal.engine.EngineChunk;
import org.guavagw.internal.engine.Usage;

/**
 * Takes an answer towards the caller. Confined to the request's thread.
 *
 * <p>Order of calls: {@link #begin} once, {@link #write} for each chunk, {@link #end} once if the
 * answer is whole.
 */
public interface AnswerSink {
  /** Starts the answer; from here on the request cannot be answered by another attempt. */
  void begin(AnswerHead head);

  /** Passes a chunk on. */
  void write(EngineChunk chunk);

  /** Marks the answer as whole. */
  void end(Usage usage);

  /** Whether the answer has started. */
  boolean hasBegun();

  /** Whether the caller has left, so that nobody reads the answer. */
  boolean isCallerGone();
}
