package org.guavagw.internal.membership;

import java.util.List;
import org.guavagw.internal.peer.PeerMessage;
import org.guavagw.internal.peer.PeerMessageType;

/** Messages by which entries tell that they live and what changed. Immutable. */
public sealed interface MembershipMessage extends PeerMessage {
  /** The types for the registry. */
  List<PeerMessageType<?>> TYPES =
      List.of(
          new PeerMessageType<>("hb", Heartbeat.class),
          new PeerMessageType<>("hba", HeartbeatAnswer.class));

  /**
   * Sent to each chosen peer at every interval.
   *
   * @param sequence counts heartbeats on this link from 1
   * @param answeredSequence the newest heartbeat whose answer arrived, or 0
   */
  record Heartbeat(long sequence, long answeredSequence, List<SectionBody> sections)
      implements MembershipMessage {
    public Heartbeat {
      sections = List.copyOf(sections);
    }
  }

  /** What the answering peer has to tell. */
  record HeartbeatAnswer(List<SectionBody> sections) implements MembershipMessage {
    public HeartbeatAnswer {
      sections = List.copyOf(sections);
    }
  }
}
