package org.guavagw.gateway.internal.peers;

import org.guavagw.internal.peer.PeerMessage;

/**
 * Measurements of entries. Immutable.
 *
 * <p>A build that does not know this message ignores it.
 *
 * @param scope entries whose measurements it contains
 * @param dataCentre data centre of the sender
 */
public record MeasurementReport(Scope scope, String dataCentre, Measurements measurements)
    implements PeerMessage {

  /** Entries whose measurements a report contains. The order is part of the message format. */
  public enum Scope {
    /** The sender. */
    ENTRY,
    /** The entries of the sender's data centre. */
    DATA_CENTRE,
    /** All entries, the receiver included. */
    ALL
  }
}
