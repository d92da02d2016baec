package org.guavagw.standins.history;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A tag that a caller puts into the content of a call. It assigns executions to calls independently
 * of what the router reports. Stateless.
 */
public final class CallTag {
  private static final Pattern TAG = Pattern.compile("\\[call=([^\\]]+)\\]");

  private CallTag() {}

  /** Returns the tag of a call, for a prompt or a body. */
  public static String of(String callId) {
    return "[call=" + callId + "]";
  }

  /** Returns the id of the call in the first tag of a text, if any. */
  public static Optional<String> find(String text) {
    Matcher m = TAG.matcher(text);
    return m.find() ? Optional.of(m.group(1)) : Optional.empty();
  }
}
