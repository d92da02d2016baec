package org.guavagw.internal.config;

import java.util.List;
import org.guavagw.internal.peer.PeerMessage;
import org.guavagw.internal.peer.PeerMessageType;

/** Messages by which entries hand revisions to one another. Immutable. */
public sealed interface ConfigMessage extends PeerMessage {
  /** The types for the registry. */
  List<PeerMessageType<?>> TYPES =
      List.of(
          new PeerMessageType<>("cn", Notice.class),
          new PeerMessageType<>("cp", Pull.class),
          new PeerMessageType<>("cr", Revisions.class));

  /** Tells that the sender has a revision. */
  record Notice(long revision) implements ConfigMessage {}

  /** Asks for what came after a revision. */
  record Pull(long after) implements ConfigMessage {}

  /**
   * Answers a pull with compressed records, or with the whole configuration where the records do
   * not reach back so far. Arrays must not be changed.
   *
   * @param snapshot empty if the records are given
   */
  record Revisions(long revision, byte[] snapshot, List<byte[]> records) implements ConfigMessage {
    public Revisions {
      records = List.copyOf(records);
    }
  }
}
