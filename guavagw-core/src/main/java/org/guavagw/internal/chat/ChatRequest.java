package org.guavagw.internal.chat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.limits.RequestClass;

/**
 * A syntactically valid chat completion request. The JSON tree must not be changed.
 *
 * @param model name of a model, of a version as {@code model@version}, or of a task class
 * @param maxTokens maximum number of tokens of the answer
 */
public record ChatRequest(
    ObjectNode body,
    String model,
    boolean stream,
    boolean includeUsage,
    int maxTokens,
    String prompt) {
  private static final int INTERACTIVE_MAX_TOKENS = 256;

  /**
   * Returns the request body for a backend server: streamed, with token counts, for one version.
   */
  public ObjectNode bodyFor(VersionRef version) {
    ObjectNode copy = body.deepCopy();
    copy.put("model", version.toString());
    copy.put("stream", true);
    copy.put("max_tokens", maxTokens);
    copy.putObject("stream_options").put("include_usage", true);
    return copy;
  }

  /** Returns the class of the request, based on the maximum length of its answer. */
  public RequestClass requestClass() {
    return maxTokens > INTERACTIVE_MAX_TOKENS ? RequestClass.LONG : RequestClass.INTERACTIVE;
  }

  /** Returns the expected cost relative to a short answer. */
  public double relativeCost() {
    return Math.max(1, (double) maxTokens / INTERACTIVE_MAX_TOKENS);
  }
}
