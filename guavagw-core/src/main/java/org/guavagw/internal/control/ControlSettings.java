package org.guavagw.internal.control;

import java.util.List;
import org.guavagw.internal.membership.GossipSettings;
import org.guavagw.internal.peer.PeerSettings;
import org.guavagw.platform.Vm;

/**
 * What an entry must know to take part. Immutable.
 *
 * @param self this entry; a control port of 0 stands for any free one
 * @param incarnation higher than that of any earlier process with this id
 * @param seeds other entries, in case the platform's list cannot be read at the start
 */
public record ControlSettings(
    Vm self, long incarnation, PeerSettings peers, GossipSettings gossip, List<Vm> seeds) {
  public ControlSettings {
    seeds = List.copyOf(seeds);
  }
}
