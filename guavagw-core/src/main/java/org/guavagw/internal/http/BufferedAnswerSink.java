package org.guavagw.internal.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jooby.Context;
import java.time.InstantSource;
import org.guavagw.internal.chat.AnswerMetadata;
import org.guavagw.internal.chat.AnswerSink;
import org.guavagw.internal.chat.ChatCompletionBuilder;
import org.guavagw.internal.engine.EngineChunk;
import org.guavagw.internal.engine.TokenUsage;

/** Buffers an answer and sends it as one JSON response. Confined to the request's thread. */
final class BufferedAnswerSink implements AnswerSink {
  private final ObjectMapper json;
  private final Context context;
  private final InstantSource wall;
  private ChatCompletionBuilder completion;
  private AnswerMetadata metadata;
  private boolean sent;

  BufferedAnswerSink(ObjectMapper json, Context context, InstantSource wall) {
    this.json = json;
    this.context = context;
    this.wall = wall;
  }

  @Override
  public void begin(AnswerMetadata answerMetadata) {
    metadata = answerMetadata;
    completion = new ChatCompletionBuilder(json);
  }

  @Override
  public void write(EngineChunk chunk) {
    completion.add(chunk);
  }

  @Override
  public void end(TokenUsage usage) {
    AnswerHeaders.set(context, metadata);
    long created = wall.instant().getEpochSecond();
    ObjectNode body =
        completion.toCompletion(
            metadata.requestId(), metadata.version().toString(), created, usage);
    sent = true;
    context.setResponseType("application/json");
    context.send(body.toString());
  }

  @Override
  public boolean hasBegun() {
    return sent;
  }

  @Override
  public boolean isCallerDisconnected() {
    return false;
  }
}
