package org.guavagw.standins.engine;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.OptionalDouble;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The text of answers. It is determined by request id and prompt, so that a reader can tell a
 * complete answer to its own request from a truncated or a crossed one. Stateless.
 *
 * <p>The first token is a marker with the quality of the answer, such as {@code [q=0.870]}; checks
 * of completeness accept any quality.
 */
public final class AnswerText {
  private static final Pattern MARKER = Pattern.compile("\\[q=(\\d\\.\\d{3})\\] ");

  private AnswerText() {}

  /** Returns the seed of an answer, which determines its tokens. */
  public static long seed(String requestId, String prompt) {
    return Hashing.murmur3_128()
        .newHasher()
        .putString(requestId, StandardCharsets.UTF_8)
        .putByte((byte) 0)
        .putString(prompt, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }

  /** Returns a token of the answer; token 0 is the quality marker. */
  public static String token(long seed, int index, double quality) {
    if (index == 0) {
      return String.format(Locale.ROOT, "[q=%.3f] ", quality);
    }
    long mixed = (seed + index) * 0x9E3779B97F4A7C15L;
    return "w" + Long.toHexString((mixed ^ (mixed >>> 29)) & 0xffffff) + " ";
  }

  /** Returns the complete answer. */
  public static String complete(String requestId, String prompt, int tokens, double quality) {
    long seed = seed(requestId, prompt);
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < tokens; i++) {
      text.append(token(seed, i, quality));
    }
    return text.toString();
  }

  /** Returns whether a text is the complete answer to a request, of any quality. */
  public static boolean isComplete(String requestId, String prompt, int tokens, String text) {
    OptionalDouble quality = quality(text);
    return quality.isPresent()
        && complete(requestId, prompt, tokens, quality.getAsDouble()).equals(text);
  }

  /** Returns the quality marker of an answer, if it has one. */
  public static OptionalDouble quality(String text) {
    Matcher m = MARKER.matcher(text);
    return m.lookingAt()
        ? OptionalDouble.of(Double.parseDouble(m.group(1)))
        : OptionalDouble.empty();
  }
}
