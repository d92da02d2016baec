package org.guavagw.gateway.internal.framing;

import java.util.List;

/**
 * The parts of a head that decide whether and how its message is read. Immutable.
 *
 * @param startLine request line or status line
 * @param lengths values of the Content-Length headers
 * @param codings values of the Transfer-Encoding headers
 * @param hosts values of the Host headers
 * @param expectations values of the Expect headers
 */
record MessageHead(
    String startLine,
    List<String> lengths,
    List<String> codings,
    List<String> hosts,
    List<String> expectations) {
  MessageHead {
    lengths = List.copyOf(lengths);
    codings = List.copyOf(codings);
    hosts = List.copyOf(hosts);
    expectations = List.copyOf(expectations);
  }
}
