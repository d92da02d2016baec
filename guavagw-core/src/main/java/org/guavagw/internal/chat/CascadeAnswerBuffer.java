package org.guavagw.internal.chat;

import java.util.ArrayList;
import java.util.List;
import org.guavagw.internal.engine.EngineChunk;
import org.guavagw.internal.engine.TokenUsage;

/**
 * Buffers the answer of a cascade step until it has been rated. Confined to the request's thread.
 *
 * <p>Each step of a cascade except the last writes to a buffer, so that a rejected answer never
 * reaches the caller.
 */
public final class CascadeAnswerBuffer implements AnswerSink {
  private final AnswerSink target;
  private final List<EngineChunk> chunks = new ArrayList<>();
  private AnswerMetadata metadata;
  private TokenUsage usage = TokenUsage.UNKNOWN;

  /** Creates a buffer in front of a sink. */
  public CascadeAnswerBuffer(AnswerSink target) {
    this.target = target;
  }

  @Override
  public void begin(AnswerMetadata answerMetadata) {
    metadata = answerMetadata;
    chunks.clear();
  }

  @Override
  public void write(EngineChunk chunk) {
    chunks.add(chunk);
  }

  @Override
  public void end(TokenUsage answerUsage) {
    usage = answerUsage;
  }

  /** Returns false, since a buffered answer can still be replaced by another one. */
  @Override
  public boolean hasBegun() {
    return false;
  }

  @Override
  public boolean isCallerDisconnected() {
    return target.isCallerDisconnected();
  }

  /** Returns the chunks received so far. */
  public List<EngineChunk> chunks() {
    return List.copyOf(chunks);
  }

  /** Passes the buffered answer on to the target. */
  public void release() {
    target.begin(metadata);
    chunks.forEach(target::write);
    target.end(usage);
  }
}
