package org.guavagw.gateway.internal.peers;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.guavagw.gateway.internal.peers.Members.Member;

/**
 * Selects the hub of the data centre: the entry that reads the store and aggregates reports for the
 * others.
 *
 * <p>All entries rank the members of their data centre in the same order, by rendezvous hashing,
 * and select the first one that they do not avoid; correctness does not depend on all selecting the
 * same one. Thread-safe.
 */
public final class HubSelector {
  /** How long an entry that failed as a hub is avoided; a restart takes a few seconds. */
  private static final Duration AVOIDANCE_TIME = Duration.ofSeconds(8);

  private final Supplier<Members> members;
  private final int minMembers;
  private final Ticker ticker;
  private final Map<String, Long> avoidedUntilNanos = new ConcurrentHashMap<>();

  /**
   * Creates a selector over the current members.
   *
   * @param minMembers number of entries in the data centre from which they replicate from a hub
   */
  public HubSelector(Supplier<Members> members, int minMembers, Ticker ticker) {
    this.members = members;
    this.minMembers = minMembers;
    this.ticker = ticker;
  }

  /** Returns the hub from which this entry replicates; empty if it is to read the store itself. */
  public Optional<String> hubToFollow() {
    Members current = members.get();
    return current.rankedLocalMembers().size() < minMembers
        ? Optional.empty()
        : hub().filter(name -> !name.equals(current.self()));
  }

  /** Returns the first entry of this data centre that is not avoided, which may be this one. */
  public Optional<String> hub() {
    Members current = members.get();
    return current.rankedLocalMembers().stream()
        .map(Member::name)
        .filter(name -> name.equals(current.self()) || !isAvoided(name))
        .findFirst();
  }

  /** Excludes an entry that failed as a hub from the selection for a while. */
  public void avoid(String name) {
    avoidedUntilNanos.put(name, ticker.read() + AVOIDANCE_TIME.toNanos());
  }

  private boolean isAvoided(String name) {
    Long until = avoidedUntilNanos.get(name);
    return until != null && until - ticker.read() > 0;
  }
}
