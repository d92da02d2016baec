package org.guavagw.internal.pipeline;

import org.guavagw.internal.chat.AnswerSink;
import org.guavagw.internal.chat.ChatRequest;
import org.guavagw.internal.service.ServiceAnswerSink;
import org.guavagw.internal.service.ServiceCall;

/** What a caller requests, with the sink for its answer. Immutable except for the sinks. */
public sealed interface Operation {
  /** A chat completion by a model. */
  record Chat(ChatRequest request, AnswerSink sink) implements Operation {}

  /** A call to a plain service. */
  record Service(ServiceCall call, ServiceAnswerSink sink) implements Operation {}
}
