package org.guavagw.standins.history;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A tag that a caller puts into the content of a call, so that executions can be told apart without
 * the word of the router. Stateless.
 */
public final class CallTag {
  private static final Pattern TAG = Pattern.compile("\\[call=([^\\]]+)\\]");

  private CallTag() {}

  /** The tag of a call, to be put into a prompt or a body. */
  public static String of(String callId) {
    return "[call=" + callId + "]";
  }

  /** The call that the first tag in a text names, if any. */
  public static Optional<String> find(String text) {
    Matcher m = TAG.matcher(text);
    return m.find() ? Optional.of(m.group(1)) : Optional.empty();
  }
}
