package org.guavagw.internal.http;

import io.jooby.Context;
import org.guavagw.internal.chat.AnswerMetadata;

/**
 * Sets the response headers that say which version and backend server an answer came from.
 * Stateless.
 */
final class AnswerHeaders {
  private AnswerHeaders() {}

  static void set(Context context, AnswerMetadata metadata) {
    context.setResponseHeader(Headers.REQUEST_ID, metadata.requestId());
    context.setResponseHeader(Headers.MODEL, metadata.version().model());
    context.setResponseHeader(Headers.VERSION, metadata.version().version());
    context.setResponseHeader(Headers.BACKEND_SERVER, metadata.backendServer());
    context.setResponseHeader(Headers.REVISION, Long.toString(metadata.revision()));
    if (metadata.sessionMoved()) {
      context.setResponseHeader(Headers.SESSION_MOVED, "true");
    }
  }
}
