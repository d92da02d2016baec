package org.guavagw.standins.engine;

import io.jooby.Context;
import org.guavagw.standins.http.JsonResponses;

/** An error after a whole run that does not say whether the request ran. Stateless. */
record FailingAnswerWriter(Context ctx) implements AnswerWriter {
  private static final int INTERNAL_ERROR = 500;

  @Override
  public void token(int index, String text) {
    // Tokens are computed and lost.
  }

  @Override
  public void finish(Usage usage) {
    cut();
  }

  @Override
  public void cut() {
    JsonResponses.send(ctx, INTERNAL_ERROR, ErrorBody.of("internal_error"));
  }

  @Override
  public void refuse(EngineRefusal refusal) {
    cut();
  }
}
