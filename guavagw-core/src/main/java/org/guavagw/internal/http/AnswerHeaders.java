package org.guavagw.internal.http;

import io.jooby.Context;
import org.guavagw.internal.chat.AnswerHead;

/** Writes what an answer's headers say of where it came from. Stateless. */
final class AnswerHeaders {
  private AnswerHeaders() {}

  static void set(Context context, AnswerHead head) {
    context.setResponseHeader(Headers.REQUEST_ID, head.requestId());
    context.setResponseHeader(Headers.MODEL, head.version().model());
    context.setResponseHeader(Headers.VERSION, head.version().version());
    context.setResponseHeader(Headers.BACKEND_SERVER, head.backendServer());
    context.setResponseHeader(Headers.REVISION, Long.toString(head.revision()));
    if (head.sessionMoved()) {
      context.setResponseHeader(Headers.SESSION_MOVED, "true");
    }
  }
}
