package org.guavagw.standins.history;

import org.guavagw.standins.engine.AnswerText;

/** The expected complete answer to a call. Immutable. */
public sealed interface ExpectedAnswer {
  /** Returns whether a text is the complete answer to this call. */
  boolean matches(String requestId, String text);

  /** Answer of an engine stand-in to a prompt in the form of {@code Prompts.text}. */
  record Chat(String prompt, int tokens) implements ExpectedAnswer {
    @Override
    public boolean matches(String requestId, String text) {
      return AnswerText.isComplete(requestId, prompt, tokens, text);
    }
  }

  /** Answer of a plain service stand-in: JSON that contains the tag of the call. */
  record ServiceEcho(String callId) implements ExpectedAnswer {
    @Override
    public boolean matches(String requestId, String text) {
      return text.contains(CallTag.of(callId)) && text.endsWith("}");
    }
  }
}
