package org.guavagw.gateway.internal.framing;

import io.vavr.control.Either;
import java.util.List;
import java.util.regex.Pattern;

/** What requests and answers have in common in marking the end of a body. Stateless. */
final class BodyFraming {
  private static final Pattern LENGTH = Pattern.compile("\\d{1,18}");

  private BodyFraming() {}

  /**
   * Returns where the body ends (RFC 9112, section 6.3), if all readers agree on it.
   *
   * @param unmarked the end of a message with neither header
   */
  static Either<FramingFault, BodyEnd> endOf(MessageHead head, boolean http10, BodyEnd unmarked) {
    List<String> lengths = head.lengths();
    List<String> codings = head.codings();
    if (codings.isEmpty()) {
      return lengths.isEmpty() ? Either.right(unmarked) : endByLength(lengths);
    }
    if (!lengths.isEmpty()) {
      return fault("both Content-Length and Transfer-Encoding");
    }
    if (http10) {
      return fault("Transfer-Encoding in HTTP/1.0");
    }
    return codings.size() == 1 && codings.get(0).equalsIgnoreCase("chunked")
        ? Either.right(BodyEnd.CHUNKS)
        : fault("Transfer-Encoding other than chunked");
  }

  private static Either<FramingFault, BodyEnd> endByLength(List<String> lengths) {
    return lengths.size() == 1 && LENGTH.matcher(lengths.get(0)).matches()
        ? Either.right(BodyEnd.after(Long.parseLong(lengths.get(0))))
        : fault("Content-Length is not one number");
  }

  private static Either<FramingFault, BodyEnd> fault(String reason) {
    return Either.left(FramingFault.malformed(reason));
  }
}
