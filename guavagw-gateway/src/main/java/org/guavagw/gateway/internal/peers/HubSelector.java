package org.guavagw.gateway.internal.peers;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.guavagw.gateway.internal.peers.Members.Member;

/**
 * Which entry of the data centre reads the store and gathers reports for the others.
 *
 * <p>All entries rank the entries of their data centre alike and take the first that they do not
 * avoid; nothing depends on their taking the same one. Thread-safe.
 */
public final class HubSelector {
  /** With fewer entries in a data centre a hub saves nothing. */
  static final int MIN_ENTRIES = 4;

  /** How long an entry that failed as a hub is avoided: a restart takes a few seconds. */
  private static final Duration AVOID_TIME = Duration.ofSeconds(8);

  private final Supplier<Members> members;
  private final Ticker ticker;
  private final Map<String, Long> avoidedUntilNanos = new ConcurrentHashMap<>();

  /** HubSelector among the entries that are known at any time. */
  public HubSelector(Supplier<Members> members, Ticker ticker) {
    this.members = members;
    this.ticker = ticker;
  }

  /** The entry whose replicas this one follows; empty if it is to read the store itself. */
  public Optional<String> hubToFollow() {
    Members now = members.get();
    return now.rankedLocalMembers().size() < MIN_ENTRIES
        ? Optional.empty()
        : hub().filter(name -> !name.equals(now.self()));
  }

  /** The first entry of this data centre that is not avoided, this one included. */
  public Optional<String> hub() {
    Members now = members.get();
    return now.rankedLocalMembers().stream()
        .map(Member::name)
        .filter(name -> name.equals(now.self()) || !isAvoided(name))
        .findFirst();
  }

  /** Leaves an entry alone for a while that failed as a hub. */
  public void avoid(String name) {
    avoidedUntilNanos.put(name, ticker.read() + AVOID_TIME.toNanos());
  }

  private boolean isAvoided(String name) {
    Long until = avoidedUntilNanos.get(name);
    return until != null && until - ticker.read() > 0;
  }
}
