package org.guavagw.internal.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jooby.Context;
import java.time.InstantSource;
import org.guavagw.internal.chat.AnswerHead;
import org.guavagw.internal.chat.AnswerSink;
import org.guavagw.internal.chat.AnswerText;
import org.guavagw.internal.engine.EngineChunk;
import org.guavagw.internal.engine.Usage;

/** Collects an answer and sends it in one piece. Confined to the request's thread. */
final class WholeAnswer implements AnswerSink {
  private final ObjectMapper json;
  private final Context context;
  private final InstantSource wall;
  private AnswerText text;
  private AnswerHead head;
  private boolean sent;

  WholeAnswer(ObjectMapper json, Context context, InstantSource wall) {
    this.json = json;
    this.context = context;
    this.wall = wall;
  }

  @Override
  public void begin(AnswerHead answerHead) {
    head = answerHead;
    text = new AnswerText(json);
  }

  @Override
  public void write(EngineChunk chunk) {
    text.add(chunk);
  }

  @Override
  public void end(Usage usage) {
    AnswerHeaders.set(context, head);
    long created = wall.instant().getEpochSecond();
    ObjectNode body =
        text.toCompletion(head.requestId(), head.version().toString(), created, usage);
    sent = true;
    context.setResponseType("application/json");
    context.send(body.toString());
  }

  @Override
  public boolean hasBegun() {
    return sent;
  }

  @Override
  public boolean isCallerGone() {
    return false;
  }
}
