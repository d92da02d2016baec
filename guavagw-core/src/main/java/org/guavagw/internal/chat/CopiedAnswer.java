package org.guavagw.internal.chat;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.guavagw.internal.engine.EngineChunk;
import org.guavagw.internal.engine.Usage;

/** Passes an answer on and keeps its text. Confined to the request's thread. */
public final class CopiedAnswer implements AnswerSink {
  private final AnswerSink target;
  private final ObjectMapper json;
  private AnswerText text;

  /** Creates a copy in front of a sink. */
  public CopiedAnswer(AnswerSink target, ObjectMapper json) {
    this.target = target;
    this.json = json;
    this.text = new AnswerText(json);
  }

  @Override
  public void begin(AnswerHead head) {
    text = new AnswerText(json);
    target.begin(head);
  }

  @Override
  public void write(EngineChunk chunk) {
    text.add(chunk);
    target.write(chunk);
  }

  @Override
  public void end(Usage usage) {
    target.end(usage);
  }

  @Override
  public boolean hasBegun() {
    return target.hasBegun();
  }

  @Override
  public boolean isCallerGone() {
    return target.isCallerGone();
  }

  /** The text so far. */
  public String text() {
    return text.text();
  }
}
