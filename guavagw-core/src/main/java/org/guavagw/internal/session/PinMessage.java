package org.guavagw.internal.session;

import java.util.List;
import org.guavagw.internal.peer.PeerMessage;
import org.guavagw.internal.peer.PeerMessageType;

/** Messages for looking up session pins at other entries. Immutable. */
public sealed interface PinMessage extends PeerMessage {
  /** The message types to register. */
  List<PeerMessageType<?>> TYPES =
      List.of(
          new PeerMessageType<>("sf", PinRequest.class),
          new PeerMessageType<>("sk", PinAnswer.class));

  /** Requests the pin of a session. */
  record PinRequest(SessionKey key) implements PinMessage {}

  /** Answers with the pinned version, or an empty string if the entry has none cached. */
  record PinAnswer(String version) implements PinMessage {}
}
