package org.guavagw.gateway.internal.peers;

import com.google.common.base.Suppliers;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * The registered entries of a deployment, which share its limits, and the duties that rendezvous
 * hashing assigns to them. Immutable; ranks are computed when they are first needed.
 */
public final class Members {
  /** Number of entries assumed until the list was read; high enough that no limit is exceeded. */
  private static final int ASSUMED_ENTRIES = 16;

  /**
   * Part of a cold backend server's tolerated rate that may come from entries being one request
   * ahead of their even share.
   */
  private static final double COLD_BURST_SHARE = 0.5;

  /** Requests beyond its stated rate that a backend server can bear at any time. */
  private static final int MIN_LIMIT_PARTICIPANTS = 4;

  /** Seconds of its stated rate that a backend server can bear in advance. */
  private static final double LIMIT_BURST_SECONDS = 2;

  /** Up to this number of entries all of them are evaluators, as their messages cost little. */
  private static final int MAX_ALL_EVALUATORS = 12;

  /**
   * Hashed with the names, so that coordinators rank differently from the entries of a data centre.
   */
  private static final String COORDINATOR_SALT = "acting";

  /** Two, as one of them may be down. */
  private static final int EVALUATORS_PER_DATA_CENTRE = 2;

  private final String self;
  private final List<Member> all;
  private final Supplier<List<Member>> rankedLocalMembers =
      Suppliers.memoize(this::rankLocalMembers);
  private final Supplier<Set<String>> localPeers = Suppliers.memoize(this::findLocalPeers);
  private final Supplier<Map<String, List<Member>>> remoteMembers =
      Suppliers.memoize(this::rankRemoteMembers);

  /**
   * Creates the list of registered entries.
   *
   * @param self name of this entry
   * @param all all registered entries, this one included
   */
  public Members(String self, List<Member> all) {
    this.self = self;
    this.all = List.copyOf(all);
  }

  /** Returns the name of this entry. */
  public String self() {
    return self;
  }

  /** Returns all registered entries, this one included if it is registered. */
  public List<Member> all() {
    return all;
  }

  /** Returns the number of entries that share the limits. */
  public int count() {
    return all.isEmpty() ? ASSUMED_ENTRIES : all.size();
  }

  /**
   * Returns how many requests per second this entry may send to a cold backend server.
   *
   * <p>Each entry may be one request ahead of its share, so the number of participating entries is
   * limited to keep the sum within the tolerated rate; entries of the backend server's data centre
   * come first.
   */
  public double coldShare(String server, String dataCentre, double toleratedPerSecond) {
    int participants = (int) Math.max(1, Math.floor(toleratedPerSecond * COLD_BURST_SHARE));
    return share(server, dataCentre, toleratedPerSecond, participants);
  }

  /**
   * Returns how many requests per second this entry may send to a backend server that states a rate
   * for all entries together; 0 if it has no share.
   *
   * <p>Each entry may be one request ahead of its share, so the number of participating entries is
   * limited.
   */
  public double limitShare(String server, String dataCentre, double perSecond) {
    int participants = (int) Math.floor(MIN_LIMIT_PARTICIPANTS + perSecond * LIMIT_BURST_SECONDS);
    return share(server, dataCentre, perSecond, participants);
  }

  private double share(String server, String dataCentre, double perSecond, int participants) {
    if (count() <= participants || all.isEmpty()) {
      return perSecond / count();
    }
    return participates(server, dataCentre, participants) ? perSecond / participants : 0;
  }

  /**
   * Returns whether this entry is one of a few that do something for a backend server; entries of
   * its data centre come first.
   */
  public boolean participates(String server, String dataCentre, int participants) {
    return all.size() <= participants
        || all.stream()
            .sorted(
                Comparator.comparing((Member m) -> !m.dataCentre().equals(dataCentre))
                    .thenComparing(m -> hash(m.name(), server)))
            .limit(participants)
            .anyMatch(m -> m.name().equals(self));
  }

  /**
   * Returns the entries of this data centre, this one included, in the order of their rank, which
   * is the same on all entries.
   */
  public List<Member> rankedLocalMembers() {
    return rankedLocalMembers.get();
  }

  private List<Member> rankLocalMembers() {
    return all.stream()
        .filter(m -> m.name().equals(self))
        .findFirst()
        .map(own -> ranked(own.dataCentre()))
        .orElse(List.of());
  }

  /** Returns all entries except this one. */
  public List<Member> others() {
    return all.stream().filter(m -> !m.name().equals(self)).toList();
  }

  /** Returns the names of the other entries of this data centre. */
  public Set<String> localPeers() {
    return localPeers.get();
  }

  private Set<String> findLocalPeers() {
    return rankedLocalMembers().stream()
        .map(Member::name)
        .filter(name -> !name.equals(self))
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Returns the data centre of this entry; empty if this entry is not registered. */
  public String localDataCentre() {
    return rankedLocalMembers().stream().findFirst().map(Member::dataCentre).orElse("");
  }

  /** Returns the entries of every other data centre in the order of their rank. */
  public Map<String, List<Member>> remoteMembers() {
    return remoteMembers.get();
  }

  private Map<String, List<Member>> rankRemoteMembers() {
    return all.stream()
        .map(Member::dataCentre)
        .distinct()
        .filter(dc -> !dc.equals(localDataCentre()))
        .collect(Collectors.toUnmodifiableMap(dc -> dc, this::ranked));
  }

  /**
   * Returns the entries that receive the evidence of all entries on a rollout: a few in each data
   * centre.
   */
  public List<Member> evaluators() {
    if (all.size() <= MAX_ALL_EVALUATORS) {
      return all;
    }
    return all.stream()
        .map(Member::dataCentre)
        .distinct()
        .flatMap(dc -> ranked(dc).stream().limit(EVALUATORS_PER_DATA_CENTRE))
        .toList();
  }

  /**
   * Returns this entry's rank as coordinator, the one entry that acts for all: 0 acts first.
   * Evaluators rank first; other entries follow in an order of their own, and may share a rank.
   */
  public int coordinatorRank() {
    List<String> evaluators = namesInCoordinatorOrder(evaluators());
    int position = evaluators.indexOf(self);
    return position >= 0
        ? position
        : evaluators.size() + Math.floorMod(hash(self, COORDINATOR_SALT), MAX_ALL_EVALUATORS);
  }

  private static List<String> namesInCoordinatorOrder(List<Member> members) {
    return members.stream()
        .map(Member::name)
        .sorted(Comparator.comparing(name -> hash(name, COORDINATOR_SALT)))
        .toList();
  }

  private List<Member> ranked(String dataCentre) {
    return all.stream()
        .filter(m -> m.dataCentre().equals(dataCentre))
        .sorted(Comparator.comparing((Member m) -> hash(m.name(), dataCentre)))
        .toList();
  }

  private static long hash(String member, String key) {
    return Hashing.murmur3_128()
        .newHasher()
        .putString(member, StandardCharsets.UTF_8)
        .putString(key, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }

  /**
   * A registered entry. Immutable.
   *
   * @param host host on which it listens for peers
   */
  public record Member(String name, String dataCentre, String host, int port) {
    // The generated method links method handles on first use, which slows down the start.
    @Override
    public boolean equals(Object other) {
      return other instanceof Member m
          && name.equals(m.name)
          && dataCentre.equals(m.dataCentre)
          && host.equals(m.host)
          && port == m.port;
    }

    @Override
    public int hashCode() {
      return name.hashCode();
    }
  }
}
