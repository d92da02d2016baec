package org.guavagw.internal.control;

import java.util.List;
import org.guavagw.internal.membership.GossipSettings;
import org.guavagw.internal.peer.PeerSettings;
import org.guavagw.platform.Vm;

/**
 * Settings of an entry's control plane. Immutable.
 *
 * @param self this entry; with a control port of 0, a free port is chosen
 * @param incarnation number higher than that of any earlier process with this id
 * @param seeds other entries, in case the platform's list cannot be read at the start
 */
public record ControlSettings(
    Vm self, long incarnation, PeerSettings peers, GossipSettings gossip, List<Vm> seeds) {
  public ControlSettings {
    seeds = List.copyOf(seeds);
  }
}
