package org.guavagw.gateway.internal.framing;

import org.guavagw.RefusalCode;

/**
 * Why bytes are not read as a message. Immutable.
 *
 * @param code the code with which a request is refused
 * @param reason what is wrong, for logs and callers
 */
public record FramingFault(RefusalCode code, String reason) {
  static FramingFault malformed(String reason) {
    return new FramingFault(RefusalCode.MALFORMED_REQUEST, reason);
  }
}
