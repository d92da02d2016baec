package org.guavagw.standins.history;

import org.guavagw.standins.engine.AnswerText;

/** What the whole answer to a call looks like. Immutable. */
public sealed interface ExpectedAnswer {
  /** Whether a text is the whole answer to this very call. */
  boolean matches(String requestId, String text);

  /** The answer of an engine stand-in to a prompt in the form of {@code Prompts.text}. */
  record Chat(String prompt, int tokens) implements ExpectedAnswer {
    @Override
    public boolean matches(String requestId, String text) {
      return AnswerText.isComplete(requestId, prompt, tokens, text);
    }
  }

  /** The answer of a plain service stand-in: JSON that holds the tag of the call. */
  record ServiceEcho(String callId) implements ExpectedAnswer {
    @Override
    public boolean matches(String requestId, String text) {
      return text.contains(CallTag.of(callId)) && text.endsWith("}");
    }
  }
}
