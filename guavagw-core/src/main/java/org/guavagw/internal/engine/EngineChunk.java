package org.guavagw.internal.engine;

/**
 * One event of an answer. The array must not be changed.
 *
 * @param data the event's data as the backend server sent it
 * @param usage present once, on the chunk that carries it
 * @param finishReason whether this chunk says why the answer ended
 * @param end whether this is the mark behind the last chunk
 */
public record EngineChunk(byte[] data, Usage usage, boolean finishReason, boolean end) {
  static final EngineChunk END = new EngineChunk(new byte[0], Usage.NONE, false, true);

  /** Whether the chunk only reports token counts and carries no text. */
  public boolean isUsageOnly() {
    return usage.isKnown() && !finishReason;
  }
}
