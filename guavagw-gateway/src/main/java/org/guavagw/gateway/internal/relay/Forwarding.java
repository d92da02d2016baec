package org.guavagw.gateway.internal.relay;

import com.google.common.primitives.Ints;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.OptionalInt;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.guavagw.gateway.model.BackendServer;

/**
 * What entries agree on to forward requests: each listens for them on the port after its peer port,
 * and a header counts the attempts so far. Stateless.
 */
final class Forwarding {
  private static final String ATTEMPTS_HEADER = "Guavagw-Attempts";

  /** Keeps the ids of entries apart from those of backend servers. */
  private static final String ID_PREFIX = "entry/";

  private Forwarding() {}

  /** Returns the address on which an entry with this peer address takes forwarded requests. */
  static InetSocketAddress address(InetSocketAddress peerAddress) {
    int port = peerAddress.getPort();
    return new InetSocketAddress(peerAddress.getAddress(), port == 0 ? 0 : port + 1);
  }

  /** Returns an entry as the server of a forwarded request. */
  static BackendServer asServer(Member entry, String service) {
    InetSocketAddress address = address(new InetSocketAddress(entry.host(), entry.port()));
    return new BackendServer(
        ID_PREFIX + entry.name(), service, address, entry.dataCentre(), "", 0, false, 0, 0);
  }

  /** States the attempts that count towards the limit of the route. */
  static void setAttempts(HttpHeaders headers, int attempts) {
    headers.set(ATTEMPTS_HEADER, attempts);
  }

  /** Removes the attempts so far from the headers of a request and returns them. */
  static OptionalInt takeAttempts(HttpHeaders headers) {
    Integer attempts = Ints.tryParse(headers.get(ATTEMPTS_HEADER, ""));
    headers.remove(ATTEMPTS_HEADER);
    return attempts == null ? OptionalInt.empty() : OptionalInt.of(attempts);
  }
}
