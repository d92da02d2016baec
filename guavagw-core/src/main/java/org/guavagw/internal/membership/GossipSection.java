package org.guavagw.internal.membership;

import java.util.Optional;

/**
 * State that spreads with heartbeats. Used on the control thread only.
 *
 * <p>Invariant: what was collected for a link is collected again until the link confirms it, so a
 * lost heartbeat loses nothing.
 */
public interface GossipSection {
  /** Number of the section; part of the protocol. */
  int code();

  /** Whether peers in other data centres get it too. */
  boolean crossesDataCentres();

  /** What the other end has not confirmed; empty if nothing. */
  Optional<byte[]> collect(GossipLink link);

  /** Takes what the other end collected. */
  void receive(GossipLink link, byte[] body);

  /** The other end has what was collected last. */
  void confirmed(GossipLink link);

  /** The link starts anew or has gone; the other end may know nothing. */
  void dropped(GossipLink link);
}
