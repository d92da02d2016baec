package org.guavagw.internal.permit;

import java.util.List;
import org.guavagw.internal.peer.PeerMessage;
import org.guavagw.internal.peer.PeerMessageType;

/** Messages between the owner of permits and the entries that hold them. Immutable. */
public sealed interface PermitMessage extends PeerMessage {
  /** The message types to register. */
  List<PeerMessageType<?>> TYPES =
      List.of(
          new PeerMessageType<>("pa", PermitRequest.class),
          new PeerMessageType<>("pv", PermitDecision.class),
          new PeerMessageType<>("pr", PermitRelease.class),
          new PeerMessageType<>("pq", HeldPermitsRequest.class),
          new PeerMessageType<>("ph", HeldPermitsReport.class));

  /** Requests a permit that ends by itself after a time. */
  record PermitRequest(HeldPermit permit) implements PermitMessage {}

  /** Answers a request for a permit. The reason is empty if it is granted. */
  record PermitDecision(boolean granted, String reason) implements PermitMessage {
    static PermitDecision grant() {
      return new PermitDecision(true, "");
    }

    static PermitDecision refuse(PermitRefusal.Reason reason) {
      return new PermitDecision(false, reason.name());
    }
  }

  /** Gives a permit back. */
  record PermitRelease(String backendServer, long id) implements PermitMessage {}

  /** Requests the permits of a data centre that an entry holds or has requested. */
  record HeldPermitsRequest(String dataCentre) implements PermitMessage {}

  /** Reports permits and the time until each ends. */
  record HeldPermitsReport(List<HeldPermit> permits) implements PermitMessage {
    public HeldPermitsReport {
      permits = List.copyOf(permits);
    }
  }

  /** A permit as sent in messages. Immutable. */
  record HeldPermit(String backendServer, long id, long endsInMs) {}
}
