package org.guavagw.internal.membership;

import java.util.List;
import org.guavagw.internal.peer.PeerMessage;
import org.guavagw.internal.peer.PeerMessageType;

/** Heartbeats and their answers. Immutable. */
public sealed interface MembershipMessage extends PeerMessage {
  /** The message types to register. */
  List<PeerMessageType<?>> TYPES =
      List.of(
          new PeerMessageType<>("hb", Heartbeat.class),
          new PeerMessageType<>("hba", HeartbeatAnswer.class));

  /**
   * Sent to each selected peer at every heartbeat interval.
   *
   * @param sequence number of the heartbeat on this link, counted from 1
   * @param answeredSequence number of the newest heartbeat whose answer arrived, or 0
   */
  record Heartbeat(long sequence, long answeredSequence, List<SectionBody> sections)
      implements MembershipMessage {
    public Heartbeat {
      sections = List.copyOf(sections);
    }
  }

  /** Answer to a heartbeat, with the sections of the answering peer. */
  record HeartbeatAnswer(List<SectionBody> sections) implements MembershipMessage {
    public HeartbeatAnswer {
      sections = List.copyOf(sections);
    }
  }
}
