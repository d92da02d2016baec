package org.guavagw.standins.engine;

import io.jooby.Context;
import java.time.Instant;
import org.guavagw.standins.http.JsonResponses;

/** Buffers an answer and writes it as one JSON document. Confined to one event loop. */
final class BufferedAnswerWriter implements AnswerWriter {
  private final Context ctx;
  private final String id;
  private final String model;
  private final StringBuilder text = new StringBuilder();

  BufferedAnswerWriter(Context ctx, String id, String model) {
    this.ctx = ctx;
    this.id = id;
    this.model = model;
  }

  @Override
  public void token(int index, String token) {
    text.append(token);
  }

  @Override
  public void finish(Usage usage) {
    long created = Instant.now().getEpochSecond();
    JsonResponses.send(
        ctx, 200, ChatCompletion.complete(id, created, model, text.toString(), usage));
  }

  @Override
  public void close() {
    JsonResponses.send(ctx, 500, ErrorBody.of("cancelled"));
  }

  @Override
  public void refuse(EngineRefusal refusal) {
    refusal.send(ctx);
  }
}
