package org.guavagw.standins.engine;

import io.jooby.Context;

/**
 * The request whose answer is sent: normally the received one, or another one when a fault crosses
 * answers. Immutable.
 */
record AnswerIdentity(String requestId, long seed) {
  static AnswerIdentity of(GenerationRequest request, String requestId) {
    return new AnswerIdentity(requestId, AnswerText.seed(requestId, request.prompt()));
  }

  AnswerWriter writer(GenerationRequest request, Context ctx) {
    String model = request.version().toString();
    return request.stream()
        ? new StreamedAnswerWriter(ctx, requestId, model, request.includeUsage())
        : new BufferedAnswerWriter(ctx, requestId, model);
  }

  String token(int index, double quality) {
    return AnswerText.token(seed, index, quality);
  }
}
