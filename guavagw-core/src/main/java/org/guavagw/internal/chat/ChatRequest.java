package org.guavagw.internal.chat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.guavagw.config.VersionRef;

/**
 * A chat completion request that has passed the checks of its form. The JSON tree must not be
 * changed.
 *
 * @param model name of a model, of a version as {@code model@version}, or of a task class
 * @param maxTokens bound on the answer's length
 */
public record ChatRequest(
    ObjectNode body,
    String model,
    boolean stream,
    boolean includeUsage,
    int maxTokens,
    String prompt) {

  /** The request's body as a backend server gets it: streamed, counted, and for one version. */
  public ObjectNode bodyFor(VersionRef version) {
    ObjectNode copy = body.deepCopy();
    copy.put("model", version.toString());
    copy.put("stream", true);
    copy.put("max_tokens", maxTokens);
    copy.putObject("stream_options").put("include_usage", true);
    return copy;
  }
}
