package org.guavagw.internal.config;

import java.util.List;
import org.guavagw.internal.peer.PeerMessage;
import org.guavagw.internal.peer.PeerMessageType;

/** Messages that distribute revisions between entries. Immutable. */
public sealed interface ConfigMessage extends PeerMessage {
  /** The message types to register. */
  List<PeerMessageType<?>> TYPES =
      List.of(
          new PeerMessageType<>("cn", Notice.class),
          new PeerMessageType<>("cp", Pull.class),
          new PeerMessageType<>("cr", Revisions.class));

  /** Announces the revision that the sender holds. */
  record Notice(long revision) implements ConfigMessage {}

  /** Requests the revisions after a known one. */
  record Pull(long after) implements ConfigMessage {}

  /**
   * Answers a pull with the compressed records of the missing revisions, or with a compressed
   * snapshot if the sender no longer has all of these records. Arrays must not be changed.
   *
   * @param snapshot empty if records are sent or nothing is missing
   */
  record Revisions(long revision, byte[] snapshot, List<byte[]> records) implements ConfigMessage {
    public Revisions {
      records = List.copyOf(records);
    }
  }
}
