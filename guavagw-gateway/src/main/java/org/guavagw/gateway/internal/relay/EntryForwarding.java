package org.guavagw.gateway.internal.relay;

import com.google.common.base.Ticker;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.function.Supplier;
import org.guavagw.gateway.CallerSocket;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.peers.PeerMessenger;
import org.guavagw.gateway.internal.peers.ReachReport;
import org.guavagw.internal.lifecycle.Closer;

/**
 * The connections between entries that carry forwarded requests. Traffic thread only, except for
 * closing.
 */
final class EntryForwarding implements AutoCloseable {
  private final Transport transport;
  private final BackendConnectionPool pool;
  private final PeerSelector selector;
  private final PeerReach reach;
  private final Ticker ticker;
  private final Closer closer = new Closer();

  EntryForwarding(
      Transport transport,
      BackendConnectionPool pool,
      Supplier<Members> members,
      PeerMessenger peers,
      Ticker ticker) {
    this.transport = transport;
    this.ticker = ticker;
    this.reach = new PeerReach(peers::sendToAll);
    this.selector = new PeerSelector(members, reach);
    peers.onMessage(
        ReachReport.class,
        (from, report) -> reach.onReport(from.memberId(), report, ticker.read()));
    this.pool = closer.register(pool);
  }

  /** Returns the connections to other entries. */
  BackendConnectionPool pool() {
    return pool;
  }

  PeerSelector selector() {
    return selector;
  }

  /** Reports to other entries which services can't be reached from here, if there is news. */
  void report(Set<String> unreachableServices) {
    reach.report(unreachableServices, ticker.read());
  }

  /** Forgets what no longer counts of other entries. */
  void expire() {
    selector.expire(ticker.read());
    reach.expire(ticker.read());
  }

  /** Starts to accept requests that other entries forward; the server closes with this. */
  CallerServer accept(InetSocketAddress peerAddress, CallerConnectionDependencies dependencies) {
    CallerSocket socket = listen(Forwarding.address(peerAddress));
    CallerServer server = closer.register(new CallerServer(transport, socket));
    server.open(dependencies.forEntries());
    return server;
  }

  private static CallerSocket listen(InetSocketAddress address) {
    try {
      return CallerSocket.listen(address);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot listen on " + address, e);
    }
  }

  @Override
  public void close() {
    closer.close();
  }
}
