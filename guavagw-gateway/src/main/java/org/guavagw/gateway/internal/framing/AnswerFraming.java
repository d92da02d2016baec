package org.guavagw.gateway.internal.framing;

import io.vavr.control.Either;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Decides whether an answer is read: only if its end is certain (RFC 9112, section 6.3) and its
 * head isn't the beginning of one answer and the rest of another.
 *
 * <p>Immutable.
 *
 * @param toHead whether the request was a HEAD request, whose answer has no body
 */
record AnswerFraming(boolean toHead) implements HeadRules {
  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/1\\.(\\d) ([1-5]\\d\\d)( [\\t -~\\x80-\\xff]*)?");

  private static final int SWITCHING_PROTOCOLS = 101;
  private static final int OK = 200;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  @Override
  public int maxBlankLines() {
    return 0;
  }

  @Override
  public Either<FramingFault, BodyEnd> read(MessageHead head) {
    Matcher line = STATUS_LINE.matcher(head.startLine());
    if (!line.matches()) {
      return Either.left(FramingFault.malformed("the status line is not valid"));
    }
    int status = Integer.parseInt(line.group(2));
    if (status == SWITCHING_PROTOCOLS) {
      return Either.left(FramingFault.malformed("a change of protocol that was not asked for"));
    }
    if (status < OK) {
      return Either.right(BodyEnd.INTERIM);
    }
    boolean bodiless = toHead || status == NO_CONTENT || status == NOT_MODIFIED;
    return BodyFraming.endOf(head, line.group(1).equals("0"), BodyEnd.CONNECTION)
        .map(end -> bodiless ? BodyEnd.NONE : end);
  }
}
