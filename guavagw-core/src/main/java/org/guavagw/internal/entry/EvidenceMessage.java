package org.guavagw.internal.entry;

import java.util.List;
import org.guavagw.internal.peer.PeerMessage;
import org.guavagw.internal.peer.PeerMessageType;
import org.guavagw.internal.rollout.EvidenceReport;

/** Sends a report on versions to an entry that evaluates them. Immutable. */
record EvidenceMessage(EvidenceReport report) implements PeerMessage {
  static final List<PeerMessageType<?>> TYPES =
      List.of(new PeerMessageType<>("ev", EvidenceMessage.class));
}
