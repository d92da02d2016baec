package org.guavagw.gateway.internal.relay;

import com.google.common.base.Ticker;
import java.util.function.Supplier;
import org.guavagw.gateway.internal.memory.HeldBytesLimit;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.peers.PeerMessenger;
import org.guavagw.gateway.spi.RelayFormat;

/**
 * Creates the pools of connections on which this entry sends requests. Traffic thread only.
 *
 * <p>Invariant: one limit bounds what the connections of all pools hold of incomplete heads.
 */
final class ConnectionPools {
  /** Part of the memory that callers may hold. */
  private static final int HEADS_DIVISOR = 4;

  private final Transport transport;
  private final RelayFormat format;
  private final PendingReadBarrier readBarrier;
  private final HeldBytesLimit incompleteHeads;
  private final Ticker ticker;

  /**
   * Creates a factory of pools.
   *
   * @param callerBytes limit on what callers may hold
   */
  ConnectionPools(
      Transport transport,
      RelayFormat format,
      PendingReadBarrier readBarrier,
      long callerBytes,
      Ticker ticker) {
    this.transport = transport;
    this.format = format;
    this.readBarrier = readBarrier;
    this.incompleteHeads = new HeldBytesLimit(callerBytes / HEADS_DIVISOR);
    this.ticker = ticker;
  }

  /** Creates a pool of connections to backend servers, whose answers name their requests. */
  BackendConnectionPool toServers(ConnectListener listener) {
    return newPool(listener, true);
  }

  /** Creates the connections to other entries. */
  EntryForwarding newForwarding(Supplier<Members> members, PeerMessenger peers) {
    BackendConnectionPool pool = newPool(ConnectListener.NONE, false);
    return new EntryForwarding(transport, pool, members, peers, ticker);
  }

  private BackendConnectionPool newPool(ConnectListener listener, boolean answersNamed) {
    return new BackendConnectionPool(
        transport, format, readBarrier, listener, answersNamed, incompleteHeads, ticker);
  }
}
