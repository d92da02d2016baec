package org.guavagw.internal.permit;

import java.util.List;
import org.guavagw.internal.peer.PeerMessage;
import org.guavagw.internal.peer.PeerMessageType;

/** Messages between holders and owners of permits. Immutable. */
public sealed interface PermitMessage extends PeerMessage {
  /** The types for the registry. */
  List<PeerMessageType<?>> TYPES =
      List.of(
          new PeerMessageType<>("pa", Ask.class),
          new PeerMessageType<>("pv", Verdict.class),
          new PeerMessageType<>("pr", Release.class),
          new PeerMessageType<>("pq", ReportHeld.class),
          new PeerMessageType<>("ph", Held.class));

  /** Asks for a permit that ends by itself after a time. */
  record Ask(HeldPermit permit) implements PermitMessage {}

  /** Answers an ask; the reason is empty for a grant. */
  record Verdict(boolean granted, String reason) implements PermitMessage {
    static Verdict grant() {
      return new Verdict(true, "");
    }

    static Verdict refuse(PermitRefusal.Reason reason) {
      return new Verdict(false, reason.name());
    }
  }

  /** Gives a permit back. */
  record Release(String backendServer, long id) implements PermitMessage {}

  /** Asks an entry for the permits of a data centre that it holds or has asked for. */
  record ReportHeld(String dataCentre) implements PermitMessage {}

  /** Answers with permits and the time until each ends. */
  record Held(List<HeldPermit> permits) implements PermitMessage {
    public Held {
      permits = List.copyOf(permits);
    }
  }

  /** A permit as it travels; immutable. */
  record HeldPermit(String backendServer, long id, long endsInMs) {}
}
