package org.guavagw.internal.chat;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.guavagw.internal.engine.EngineChunk;
import org.guavagw.internal.engine.TokenUsage;

/** Passes an answer on and keeps a copy of its text. Confined to the request's thread. */
public final class TextCapturingAnswerSink implements AnswerSink {
  private final AnswerSink target;
  private final ObjectMapper json;
  private ChatCompletionBuilder completion;

  /** Creates a sink that passes the answer on to the target. */
  public TextCapturingAnswerSink(AnswerSink target, ObjectMapper json) {
    this.target = target;
    this.json = json;
    this.completion = new ChatCompletionBuilder(json);
  }

  @Override
  public void begin(AnswerMetadata metadata) {
    completion = new ChatCompletionBuilder(json);
    target.begin(metadata);
  }

  @Override
  public void write(EngineChunk chunk) {
    completion.add(chunk);
    target.write(chunk);
  }

  @Override
  public void end(TokenUsage usage) {
    target.end(usage);
  }

  @Override
  public boolean hasBegun() {
    return target.hasBegun();
  }

  @Override
  public boolean isCallerDisconnected() {
    return target.isCallerDisconnected();
  }

  /** Returns the text received so far. */
  public String text() {
    return completion.text();
  }
}
