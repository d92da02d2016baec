package org.guavagw.internal.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Chooses the peers that an entry sends heartbeats to: its successors in a few shuffled rings of
 * its data centre, and, for a few entries, one each in every other data centre. Stateless.
 *
 * <p>Invariant: the number of peers does not grow with the number of entries.
 */
final class LinkPlan {
  private static final int RINGS = 3;
  private static final int LINKS_BETWEEN_DATA_CENTRES = 2;

  private LinkPlan() {}

  /** Ids of the peers of one entry. */
  static Set<String> peers(Member self, List<Member> members) {
    Set<String> peers = new LinkedHashSet<>();
    List<String> near = candidates(self.dataCentre(), members);
    for (int ring = 0; ring < RINGS; ring++) {
      peers.add(successor(self.id(), near, ring));
    }
    dataCentres(members).stream()
        .filter(dc -> !dc.equals(self.dataCentre()))
        .forEach(dc -> addRemote(peers, self, near, dc, candidates(dc, members)));
    peers.remove(self.id());
    return peers;
  }

  private static void addRemote(
      Set<String> peers, Member self, List<String> near, String dataCentre, List<String> far) {
    String own = self.dataCentre();
    List<String> here = Rendezvous.pick(own + ">" + dataCentre, near, LINKS_BETWEEN_DATA_CENTRES);
    List<String> there = Rendezvous.pick(dataCentre + ">" + own, far, LINKS_BETWEEN_DATA_CENTRES);
    int rank = here.indexOf(self.id());
    if (rank >= 0 && !there.isEmpty()) {
      peers.add(there.get(rank % there.size()));
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
