package org.guavagw.internal.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jooby.Context;
import java.nio.charset.StandardCharsets;
import org.guavagw.Refusal;
import org.guavagw.internal.chat.AnswerMetadata;
import org.guavagw.internal.chat.AnswerSink;
import org.guavagw.internal.engine.EngineChunk;
import org.guavagw.internal.engine.TokenUsage;

/**
 * Sends an answer to the caller as server-sent events. Confined to the request's thread.
 *
 * <p>Invariant: the end marker is written only after a complete answer.
 */
final class StreamedAnswerSink implements AnswerSink {
  private static final byte[] PREFIX = "data: ".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] SUFFIX = "\n\n".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] END = "data: [DONE]\n\n".getBytes(StandardCharsets.US_ASCII);

  private final ObjectMapper json;
  private final Context context;
  private final boolean includeUsage;
  private CallerConnection connection;

  StreamedAnswerSink(ObjectMapper json, Context context, boolean includeUsage) {
    this.json = json;
    this.context = context;
    this.includeUsage = includeUsage;
  }

  @Override
  public void begin(AnswerMetadata metadata) {
    AnswerHeaders.set(context, metadata);
    context.setResponseType("text/event-stream");
    context.setResponseHeader("Cache-Control", "no-cache");
    connection = new CallerConnection(context);
  }

  @Override
  public void write(EngineChunk chunk) {
    if (chunk.isEndMarker() || (chunk.isUsageOnly() && !includeUsage)) {
      return;
    }
    connection.write(frame(chunk.data()));
  }

  @Override
  public void end(TokenUsage usage) {
    connection.write(END);
    connection.close();
  }

  @Override
  public boolean hasBegun() {
    return connection != null;
  }

  @Override
  public boolean isCallerDisconnected() {
    return connection != null && connection.isDisconnected();
  }

  /** Ends the answer with an error event, which tells the caller that it is incomplete. */
  void fail(Refusal refusal, String requestId) {
    ObjectNode body = ErrorBody.of(json, refusal, requestId);
    connection.write(frame(body.toString().getBytes(StandardCharsets.UTF_8)));
    connection.close();
  }

  private static byte[] frame(byte[] data) {
    byte[] framed = new byte[PREFIX.length + data.length + SUFFIX.length];
    System.arraycopy(PREFIX, 0, framed, 0, PREFIX.length);
    System.arraycopy(data, 0, framed, PREFIX.length, data.length);
    System.arraycopy(SUFFIX, 0, framed, PREFIX.length + data.length, SUFFIX.length);
    return framed;
  }
}
