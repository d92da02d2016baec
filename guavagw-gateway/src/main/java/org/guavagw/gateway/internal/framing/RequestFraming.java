package org.guavagw.gateway.internal.framing;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.guavagw.RefusalCode;

/**
 * Decides whether a request is read: only if all readers agree on its target and its end (RFC
 * 9112). Where they don't, a backend server could take a part of the body for a request of its own.
 * Stateless.
 */
final class RequestFraming implements HeadRules {
  private static final Pattern REQUEST_LINE =
      Pattern.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]+) ([!-~]+) HTTP/(\\d)\\.(\\d)");

  private static final Pattern HOST = Pattern.compile("[A-Za-z0-9._~%!$&'()*+,;=:\\[\\]-]*");

  @Override
  public int maxBlankLines() {
    // Some clients send a line end after a body (RFC 9112, section 2.2).
    return 1;
  }

  @Override
  public Either<FramingFault, BodyEnd> read(MessageHead head) {
    Matcher line = REQUEST_LINE.matcher(head.startLine());
    if (!line.matches()) {
      return fault("the request line is not valid");
    }
    if (!line.group(3).equals("1")) {
      return Either.left(
          new FramingFault(
              RefusalCode.VERSION_NOT_SUPPORTED, "HTTP/" + line.group(3) + " is not supported"));
    }
    Optional<String> targetFault = RequestTarget.faultOf(line.group(1), line.group(2));
    if (targetFault.isPresent()) {
      return fault(targetFault.get());
    }
    boolean http10 = line.group(4).equals("0");
    if (head.hosts().size() > 1 || (head.hosts().isEmpty() && !http10)) {
      return fault("not exactly one Host");
    }
    if (!head.hosts().stream().allMatch(host -> HOST.matcher(host).matches())) {
      return fault("Host is not valid");
    }
    if (!head.expectations().stream().allMatch(e -> e.equalsIgnoreCase("100-continue"))) {
      return Either.left(
          new FramingFault(
              RefusalCode.EXPECTATION_FAILED, "an expectation other than 100-continue"));
    }
    return BodyFraming.endOf(head, http10, BodyEnd.NONE);
  }

  private static Either<FramingFault, BodyEnd> fault(String reason) {
    return Either.left(FramingFault.malformed(reason));
  }
}
