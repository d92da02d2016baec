package org.guavagw.gateway.internal.peers;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The entries that share the common bounds. Immutable.
 *
 * @param self name of this entry
 * @param all every entry that registered, this one included
 */
public record Members(String self, List<Member> all) {
  /** Entries that are assumed until the list was read: enough to keep every bound. */
  private static final int ASSUMED_ENTRIES = 16;

  /**
   * Requests that a cold backend server may get from one entry above its even share, in a second.
   */
  private static final double COLD_BURST_SHARE = 0.5;

  /** Up to so many entries tell all others what they see, which costs little. */
  private static final int MAX_ALL_JUDGES = 12;

  /** Makes the order of those who act another one than that of a data centre's entries. */
  private static final String ACTING = "acting";

  /** One of them may be gone. */
  private static final int JUDGES_IN_DATA_CENTRE = 2;

  public Members {
    all = List.copyOf(all);
  }

  /** How many entries share the bounds. */
  public int count() {
    return all.isEmpty() ? ASSUMED_ENTRIES : all.size();
  }

  /**
   * Requests that this entry may send to a cold backend server each second.
   *
   * <p>Each entry may be one request ahead of its share, so only as many entries take part as that
   * leaves within the bound; those of the backend server's own data centre come first.
   */
  public double coldShare(String server, String dataCentre, double toleratedPerSecond) {
    int parts = (int) Math.max(1, Math.floor(toleratedPerSecond * COLD_BURST_SHARE));
    if (count() <= parts || all.isEmpty()) {
      return toleratedPerSecond / count();
    }
    boolean takesPart =
        all.stream()
            .sorted(
                Comparator.comparing((Member m) -> !m.dataCentre().equals(dataCentre))
                    .thenComparing(m -> hash(m.name(), server)))
            .limit(parts)
            .anyMatch(m -> m.name().equals(self));
    return takesPart ? toleratedPerSecond / parts : 0;
  }

  /** The entries of this one's data centre in an order that is the same on all of them. */
  public List<Member> rankedLocalMembers() {
    return all.stream()
        .filter(m -> m.name().equals(self))
        .findFirst()
        .map(own -> ranked(own.dataCentre()))
        .orElse(List.of());
  }

  /** Every entry but this one. */
  public List<Member> others() {
    return all.stream().filter(m -> !m.name().equals(self)).toList();
  }

  /** Names of the other entries of this data centre. */
  public Set<String> localPeers() {
    return rankedLocalMembers().stream()
        .map(Member::name)
        .filter(name -> !name.equals(self))
        .collect(Collectors.toSet());
  }

  /** The first entry of every other data centre. */
  public List<Member> hubsOfOtherDataCentres() {
    String here = rankedLocalMembers().stream().findFirst().map(Member::dataCentre).orElse("");
    return all.stream()
        .map(Member::dataCentre)
        .distinct()
        .filter(dc -> !dc.equals(here))
        .flatMap(dc -> ranked(dc).stream().limit(1))
        .toList();
  }

  /** Entries that gather what all have seen of a rollout: a few in each data centre. */
  public List<Member> evaluators() {
    if (all.size() <= MAX_ALL_JUDGES) {
      return all;
    }
    return all.stream()
        .map(Member::dataCentre)
        .distinct()
        .flatMap(dc -> ranked(dc).stream().limit(JUDGES_IN_DATA_CENTRE))
        .toList();
  }

  /**
   * How many others come before this entry where one of them is to act for all; entries that do not
   * judge come last, in an order of their own.
   */
  public int coordinatorRank() {
    List<String> evaluators = sortedNames(evaluators());
    int position = evaluators.indexOf(self);
    return position >= 0
        ? position
        : evaluators.size() + Math.floorMod(hash(self, ACTING), MAX_ALL_JUDGES);
  }

  private static List<String> sortedNames(List<Member> members) {
    return members.stream()
        .map(Member::name)
        .sorted(Comparator.comparing(name -> hash(name, ACTING)))
        .toList();
  }

  private List<Member> ranked(String dataCentre) {
    return all.stream()
        .filter(m -> m.dataCentre().equals(dataCentre))
        .sorted(Comparator.comparing((Member m) -> hash(m.name(), dataCentre)))
        .toList();
  }

  private static long hash(String member, String server) {
    return Hashing.murmur3_128()
        .newHasher()
        .putString(member, StandardCharsets.UTF_8)
        .putString(server, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }

  /**
   * One entry. Immutable.
   *
   * @param host where it listens for other entries
   */
  public record Member(String name, String dataCentre, String host, int port) {}
}
