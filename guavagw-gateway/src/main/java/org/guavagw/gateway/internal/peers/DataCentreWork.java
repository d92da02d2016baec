package org.guavagw.gateway.internal.peers;

import org.guavagw.internal.peer.PeerMessage;

/**
 * The work of all entries of one data centre, sent by its hub to the hubs of the others. Immutable.
 *
 * <p>Is computed from work reports of entries only, never from another {@code DataCentreWork} or a
 * {@link WorkSummary}, so that no work can be counted twice however messages travel.
 *
 * <p>Without work, a hub also sends it to the entries of its own data centre to notify them at
 * once. They use the work of a summary only, so that this changes nothing of the work they know.
 *
 * @param dataCentre data centre whose entries have the work
 */
public record DataCentreWork(String dataCentre, ServerWork work) implements PeerMessage {}
