package org.guavagw.internal.pipeline;

import org.guavagw.internal.chat.AnswerSink;
import org.guavagw.internal.chat.ChatRequest;
import org.guavagw.internal.service.ServiceCall;
import org.guavagw.internal.service.ServiceSink;

/** What is to be done for a caller. Immutable, but for the sinks. */
public sealed interface Work {
  /** An answer by a model. */
  record Chat(ChatRequest request, AnswerSink sink) implements Work {}

  /** A call to a plain service. */
  record Service(ServiceCall call, ServiceSink sink) implements Work {}
}
