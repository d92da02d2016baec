package org.guavagw.gateway.internal.peers;

import org.guavagw.internal.peer.PeerMessage;

/**
 * Announces that the sender rejected the new version of a rollout. Immutable.
 *
 * @param revision revision of the rollout order; distinguishes repeated orders
 */
public record RolloutRejection(String service, long revision) implements PeerMessage {}
