package org.guavagw.internal.membership;

import java.util.Optional;

/**
 * A kind of state that is gossiped with heartbeats. Used on the control thread only.
 *
 * <p>Invariant: state that was collected for a link is collected again until the link confirms it,
 * so a lost heartbeat loses no state.
 */
public interface GossipSection {
  /** Returns the number that identifies the section in the protocol. */
  int code();

  /** Returns whether the section is also sent to peers in other data centres. */
  boolean crossesDataCentres();

  /** Returns the encoded state that the peer has not confirmed; empty if there is none. */
  Optional<byte[]> collect(GossipLink link);

  /** Applies the state that the peer collected. */
  void receive(GossipLink link, byte[] body);

  /** Called when the peer has received what was collected last. */
  void onConfirmed(GossipLink link);

  /** Called when the link is opened or closed; the peer may have none of the state. */
  void onLinkReset(GossipLink link);
}
