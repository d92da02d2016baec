package org.guavagw.internal.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Selects the peers to which an entry sends heartbeats: its successors on a few differently ordered
 * rings of its data centre, and, for a few entries, one peer in every other data centre. Stateless.
 *
 * <p>Invariant: the number of peers does not grow with the number of entries.
 */
final class HeartbeatPeerSelector {
  private static final int RINGS = 3;
  private static final int LINKS_BETWEEN_DATA_CENTRES = 2;

  private HeartbeatPeerSelector() {}

  /** Returns the ids of the peers of an entry. */
  static Set<String> select(Member self, List<Member> members) {
    Set<String> peers = new LinkedHashSet<>();
    List<String> local = candidates(self.dataCentre(), members);
    for (int ring = 0; ring < RINGS; ring++) {
      peers.add(successor(self.id(), local, ring));
    }
    dataCentres(members).stream()
        .filter(dc -> !dc.equals(self.dataCentre()))
        .forEach(dc -> addRemotePeer(peers, self, local, dc, candidates(dc, members)));
    peers.remove(self.id());
    return peers;
  }

  private static void addRemotePeer(
      Set<String> peers, Member self, List<String> local, String dataCentre, List<String> remote) {
    String own = self.dataCentre();
    List<String> localEnds =
        RendezvousHashing.pick(own + ">" + dataCentre, local, LINKS_BETWEEN_DATA_CENTRES);
    List<String> remoteEnds =
        RendezvousHashing.pick(dataCentre + ">" + own, remote, LINKS_BETWEEN_DATA_CENTRES);
    int rank = localEnds.indexOf(self.id());
    if (rank >= 0 && !remoteEnds.isEmpty()) {
      peers.add(remoteEnds.get(rank % remoteEnds.size()));
    }
  }

  private static Set<String> dataCentres(List<Member> members) {
    Set<String> dataCentres = new TreeSet<>();
    members.forEach(m -> dataCentres.add(m.dataCentre()));
    return dataCentres;
  }

  private static List<String> candidates(String dataCentre, List<Member> members) {
    List<String> alive = idsOf(dataCentre, members, List.of(MemberState.ALIVE));
    if (!alive.isEmpty()) {
      return alive;
    }
    return idsOf(dataCentre, members, List.of(MemberState.SUSPECT, MemberState.LEAVING));
  }

  private static List<String> idsOf(
      String dataCentre, List<Member> members, List<MemberState> states) {
    return members.stream()
        .filter(m -> m.dataCentre().equals(dataCentre) && states.contains(m.state()))
        .map(Member::id)
        .toList();
  }

  private static String successor(String self, List<String> ids, int ring) {
    long own = position(self, ring);
    Comparator<String> byDistance =
        Comparator.comparingLong((String id) -> position(id, ring) - own + Long.MIN_VALUE);
    return ids.stream().filter(id -> !id.equals(self)).min(byDistance).orElse(self);
  }

  private static long position(String id, int ring) {
    return Hashing.murmur3_128(ring).hashString(id, StandardCharsets.UTF_8).asLong();
  }
}
