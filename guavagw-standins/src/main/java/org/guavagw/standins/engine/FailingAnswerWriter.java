package org.guavagw.standins.engine;

import io.jooby.Context;
import org.guavagw.standins.http.JsonResponses;

/** Discards the answer and sends an error that does not say whether the request ran. Stateless. */
record FailingAnswerWriter(Context ctx) implements AnswerWriter {
  private static final int INTERNAL_ERROR = 500;

  @Override
  public void token(int index, String text) {
    // Tokens are discarded.
  }

  @Override
  public void finish(Usage usage) {
    close();
  }

  @Override
  public void close() {
    JsonResponses.send(ctx, INTERNAL_ERROR, ErrorBody.of("internal_error"));
  }

  @Override
  public void refuse(EngineRefusal refusal) {
    close();
  }
}
