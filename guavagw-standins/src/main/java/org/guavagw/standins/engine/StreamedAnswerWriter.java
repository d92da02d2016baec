package org.guavagw.standins.engine;

import io.jooby.Context;
import io.jooby.Sender;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.guavagw.standins.http.JsonResponses;

/** Writes an answer as server-sent events, one chunk per token. Confined to one event loop. */
final class StreamedAnswerWriter implements AnswerWriter {
  private static final Sender.Callback IGNORE_RESULT = (ctx, cause) -> {};

  private final Context ctx;
  private final String id;
  private final String model;
  private final boolean includeUsage;
  private final long created = Instant.now().getEpochSecond();
  private final StringBuilder pending = new StringBuilder();
  private Sender sender;
  private int lastId;

  StreamedAnswerWriter(Context ctx, String id, String model, boolean includeUsage) {
    this.ctx = ctx;
    this.id = id;
    this.model = model;
    this.includeUsage = includeUsage;
  }

  @Override
  public void open() {
    ctx.setResponseType("text/event-stream");
    ctx.setResponseHeader("Cache-Control", "no-cache");
    sender = ctx.responseSender();
    keepAlive();
  }

  @Override
  public void keepAlive() {
    pending.append(": keepalive\n\n");
    flush();
  }

  @Override
  public void token(int index, String text) {
    appendEvent(index + 1, ChatCompletion.chunk(id, created, model, index == 0, text));
  }

  @Override
  public void flush() {
    if (pending.isEmpty()) {
      return;
    }
    sender.write(pending.toString().getBytes(StandardCharsets.UTF_8), IGNORE_RESULT);
    pending.setLength(0);
  }

  @Override
  public void finish(Usage usage) {
    appendEvent(lastId + 1, ChatCompletion.lastChunk(id, created, model));
    if (includeUsage) {
      appendEvent(lastId + 1, ChatCompletion.usageChunk(id, created, model, usage));
    }
    pending.append("data: [DONE]\n\n");
    close();
  }

  @Override
  public void close() {
    flush();
    sender.close();
  }

  @Override
  public void refuse(EngineRefusal refusal) {
    pending
        .append("data: ")
        .append(JsonResponses.text(ErrorBody.of(refusal.code())))
        .append("\n\n");
    close();
  }

  private void appendEvent(int eventId, ChatCompletion chunk) {
    lastId = eventId;
    pending.append("id: ").append(eventId).append('\n');
    pending.append("data: ").append(JsonResponses.text(chunk)).append("\n\n");
  }
}
