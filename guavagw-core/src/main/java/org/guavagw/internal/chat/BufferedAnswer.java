package org.guavagw.internal.chat;

import java.util.ArrayList;
import java.util.List;
import org.guavagw.internal.engine.EngineChunk;
import org.guavagw.internal.engine.Usage;

/**
 * Holds an answer back until it has been judged. Confined to the request's thread.
 *
 * <p>Each step of a cascade but the last writes into one of these, so that a rejected answer never
 * reaches the caller.
 */
public final class BufferedAnswer implements AnswerSink {
  private final AnswerSink target;
  private final List<EngineChunk> chunks = new ArrayList<>();
  private AnswerHead head;
  private Usage usage = Usage.NONE;

  /** Creates a buffer in front of a sink. */
  public BufferedAnswer(AnswerSink target) {
    this.target = target;
  }

  @Override
  public void begin(AnswerHead answerHead) {
    head = answerHead;
    chunks.clear();
  }

  @Override
  public void write(EngineChunk chunk) {
    chunks.add(chunk);
  }

  @Override
  public void end(Usage counted) {
    usage = counted;
  }

  /** Reports false, since a held answer can still be dropped for another one. */
  @Override
  public boolean hasBegun() {
    return false;
  }

  @Override
  public boolean isCallerGone() {
    return target.isCallerGone();
  }

  /** The chunks so far. */
  public List<EngineChunk> chunks() {
    return List.copyOf(chunks);
  }

  /** Passes the held answer on. */
  public void release() {
    target.begin(head);
    chunks.forEach(target::write);
    target.end(usage);
  }
}
