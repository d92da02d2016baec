package org.guavagw.internal.session;

import java.util.List;
import org.guavagw.internal.peer.PeerMessage;
import org.guavagw.internal.peer.PeerMessageType;

/** Messages by which entries ask one another for pins. Immutable. */
public sealed interface PinMessage extends PeerMessage {
  /** The types for the registry. */
  List<PeerMessageType<?>> TYPES =
      List.of(new PeerMessageType<>("sf", Find.class), new PeerMessageType<>("sk", Known.class));

  /** Asks for the pin of a session. */
  record Find(SessionKey key) implements PinMessage {}

  /** Answers with the version, empty if the entry remembers none. */
  record Known(String version) implements PinMessage {}
}
