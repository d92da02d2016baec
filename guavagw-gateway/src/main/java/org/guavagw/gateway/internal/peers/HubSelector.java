package org.guavagw.gateway.internal.peers;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.guavagw.gateway.internal.peers.Members.Member;

/**
 * Selects the hub of the data centre, which aggregates reports for the others, and the entry from
 * which this one replicates the control tables.
 *
 * <p>All entries rank the members of a data centre in the same order, by rendezvous hashing; the
 * first one that is not silent is the hub. The hubs of a region's data centres, in the order of
 * their names, are its readers: the first one reads the store, the next ones follow it and read the
 * store when it is lost. An entry follows an entry of its data centre that is ranked before it, or
 * else a reader. As an entry only follows those before it, nobody follows itself in a circle while
 * all agree on who is silent; correctness does not depend on that. Thread-safe.
 */
public final class HubSelector {
  /** How long an entry that failed as a hub is avoided; a restart takes a few seconds. */
  private static final Duration AVOIDANCE_TIME = Duration.ofSeconds(8);

  /**
   * How long an entry that refused is left alone if all others have, too; asking it again costs one
   * message, and it may have the store back at any time.
   */
  private static final Duration MIN_REFUSAL_TIME = Duration.ofMillis(700);

  /**
   * Readers of a region. If the store rejects a third of the entries, it rejects all of these in
   * one case of 27.
   */
  private static final int MAX_READERS = 3;

  /** Entries of its data centre that an entry follows before it turns to the other readers. */
  private static final int MAX_LOCAL_HUBS = 2;

  private final Supplier<Members> members;
  private final int minMembers;
  private final Set<String> region;
  private final Ticker ticker;
  private final Map<String, Long> silentSinceNanos = new ConcurrentHashMap<>();
  private final Map<String, Long> refusingSinceNanos = new ConcurrentHashMap<>();
  private final Map<String, Long> slowSinceNanos = new ConcurrentHashMap<>();

  /**
   * Creates a selector of an entry that follows no other data centre.
   *
   * @param minMembers number of entries in a data centre from which they replicate from a hub
   */
  public HubSelector(Supplier<Members> members, int minMembers, Ticker ticker) {
    this(members, minMembers, Set.of(), ticker);
  }

  /**
   * Creates a selector over the current members.
   *
   * @param minMembers number of entries in a data centre from which they replicate from a hub
   * @param region data centres of the region, among which one entry reads the store
   */
  public HubSelector(Supplier<Members> members, int minMembers, Set<String> region, Ticker ticker) {
    this.members = members;
    this.minMembers = minMembers;
    this.region = Set.copyOf(region);
    this.ticker = ticker;
  }

  /** Returns the entry to replicate from; empty if this entry is to read the store itself. */
  public Optional<String> hubToFollow() {
    Members current = members.get();
    if (!hasHub(current)) {
      return Optional.empty();
    }
    List<String> candidates = candidates(current);
    Optional<String> willing =
        candidates.stream()
            .filter(name -> !isRecent(lastRefusal(name), AVOIDANCE_TIME))
            .findFirst();
    return willing.isPresent()
        ? willing
        : candidates.stream()
            .filter(name -> !isRecent(lastRefusal(name), MIN_REFUSAL_TIME))
            .findFirst();
  }

  /** Returns the entries that this one may follow, in the order in which it prefers them. */
  private List<String> candidates(Members current) {
    String self = current.self();
    Stream<String> local =
        alive(current.rankedLocalMembers(), self)
            .takeWhile(name -> !name.equals(self))
            .limit(MAX_LOCAL_HUBS);
    Stream<String> others = readers(current).stream().takeWhile(name -> !name.equals(self));
    return Stream.concat(local, others).distinct().toList();
  }

  /**
   * Returns whether this entry is one of those that read the store for the others; true, too, where
   * no entry replicates from a hub.
   */
  public boolean isReader() {
    Members current = members.get();
    return !hasHub(current) || readers(current).contains(current.self());
  }

  /** Returns whether all entries that this one may follow have said that they lost the store. */
  public boolean isRefusedByAll() {
    return !isReader()
        && candidates(members.get()).stream()
            .allMatch(name -> isRecent(refusingSinceNanos.get(name), AVOIDANCE_TIME));
  }

  /** Returns the first entry of this data centre that is not silent, which may be this one. */
  public Optional<String> hub() {
    Members current = members.get();
    return alive(current.rankedLocalMembers(), current.self()).findFirst();
  }

  private boolean hasHub(Members current) {
    return current.rankedLocalMembers().size() >= minMembers;
  }

  /** Returns the readers of the region: the hubs of its data centres, then the next entries. */
  private List<String> readers(Members current) {
    Map<String, List<Member>> rankedByDataCentre = new TreeMap<>();
    current
        .remoteMembers()
        .forEach(
            (dataCentre, ranked) -> {
              if (region.contains(dataCentre) && ranked.size() >= minMembers) {
                rankedByDataCentre.put(dataCentre, ranked);
              }
            });
    rankedByDataCentre.put(current.localDataCentre(), current.rankedLocalMembers());
    List<List<String>> alive =
        rankedByDataCentre.values().stream()
            .map(ranked -> alive(ranked, current.self()).limit(MAX_READERS).toList())
            .toList();
    List<String> readers = new ArrayList<>();
    for (int rank = 0; rank < MAX_READERS; rank++) {
      for (List<String> names : alive) {
        if (rank < names.size() && readers.size() < MAX_READERS) {
          readers.add(names.get(rank));
        }
      }
    }
    return readers;
  }

  private Stream<String> alive(List<Member> ranked, String self) {
    return ranked.stream()
        .map(Member::name)
        .filter(name -> name.equals(self) || !isRecent(silentSinceNanos.get(name), AVOIDANCE_TIME));
  }

  /** Returns when an entry refused or was slow, whichever was later; null if neither. */
  private Long lastRefusal(String name) {
    Long refused = refusingSinceNanos.get(name);
    Long slow = slowSinceNanos.get(name);
    return refused == null || (slow != null && slow - refused > 0) ? slow : refused;
  }

  private boolean isRecent(Long sinceNanos, Duration time) {
    return sinceNanos != null && ticker.read() - sinceNanos < time.toNanos();
  }

  /** Excludes an entry that did not answer from the selection for a while. */
  public void avoid(String name) {
    silentSinceNanos.put(name, ticker.read());
  }

  /** Passes over an entry that said that it has lost the store. */
  public void onRefusal(String name) {
    refusingSinceNanos.put(name, ticker.read());
  }

  /** Passes over an entry that has not answered yet. */
  public void onSlowAnswer(String name) {
    slowSinceNanos.put(name, ticker.read());
  }

  /** Takes note that an entry answered as a hub. */
  public void onAnswer(String name) {
    refusingSinceNanos.remove(name);
    slowSinceNanos.remove(name);
  }

  /** Forgets all refusals, so that all entries are asked again. */
  public void forgetRefusals() {
    refusingSinceNanos.clear();
    slowSinceNanos.clear();
  }
}
