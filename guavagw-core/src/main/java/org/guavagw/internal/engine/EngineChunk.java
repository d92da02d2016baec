package org.guavagw.internal.engine;

/**
 * One event of a streamed answer. The array must not be changed.
 *
 * @param data the event's data as the backend server sent it
 * @param usage token counts, if the chunk carries them
 * @param hasFinishReason whether the chunk has a finish reason
 * @param isEndMarker whether this is the end marker after the last chunk
 */
public record EngineChunk(
    byte[] data, TokenUsage usage, boolean hasFinishReason, boolean isEndMarker) {
  static final EngineChunk END = new EngineChunk(new byte[0], TokenUsage.UNKNOWN, false, true);

  /** Returns whether the chunk only reports token counts and carries no text. */
  public boolean isUsageOnly() {
    return usage.isKnown() && !hasFinishReason;
  }
}
