package org.guavagw.gateway.internal.quarantine;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.guavagw.gateway.internal.peers.CrashSuspect;

/**
 * Finds the prompt parts that explain why backend servers ended.
 *
 * <p>A server that ends takes requests with it that have nothing to do with its end, and a request
 * that ends servers has parts that are sound. The part that was waited for on most of the servers
 * is taken first; the servers that it explains no longer count against other parts. Stateless.
 */
final class CulpritFinder {
  /** Servers that end for other reasons seldom take requests with one rare part so often. */
  private static final int MIN_SERVERS = 3;

  /** One request alone doesn't tell which of its parts it was. */
  private static final int MIN_PROMPTS = 2;

  private CulpritFinder() {}

  /**
   * Returns the parts that explain the ends of backend servers.
   *
   * @param sound whether a part is known not to end servers
   */
  static Set<String> find(Collection<CrashSuspect> suspects, Predicate<String> sound) {
    Set<String> culprits = new LinkedHashSet<>();
    Set<String> explained = new HashSet<>();
    Optional<Tally> next = worst(suspects, sound, explained);
    while (next.isPresent()) {
      culprits.add(next.get().part);
      explained.addAll(next.get().servers);
      next = worst(suspects, sound, explained);
    }
    return culprits;
  }

  private static Optional<Tally> worst(
      Collection<CrashSuspect> suspects, Predicate<String> sound, Set<String> explained) {
    Map<String, Tally> tallies = new HashMap<>();
    for (CrashSuspect suspect : suspects) {
      if (!explained.contains(suspect.incarnation())) {
        addTo(tallies, suspect, sound);
      }
    }
    // Among parts that were always seen together the later one is the less common one.
    return tallies.values().stream()
        .filter(t -> t.servers.size() >= MIN_SERVERS && t.prompts.size() >= MIN_PROMPTS)
        .max(
            Comparator.comparingInt((Tally t) -> t.servers.size())
                .thenComparingInt(t -> t.prompts.size())
                .thenComparingInt(t -> t.position)
                .thenComparing(t -> t.part));
  }

  private static void addTo(
      Map<String, Tally> tallies, CrashSuspect suspect, Predicate<String> sound) {
    List<String> parts = suspect.parts();
    for (int i = 0; i < parts.size(); i++) {
      String part = parts.get(i);
      if (!sound.test(part)) {
        Tally tally = tallies.computeIfAbsent(part, Tally::new);
        tally.servers.add(suspect.incarnation());
        tally.prompts.add(suspect.prompt());
        tally.position = Math.max(tally.position, i);
      }
    }
  }

  /** What speaks against one part. */
  private static final class Tally {
    private final String part;
    private final Set<String> servers = new HashSet<>();
    private final Set<String> prompts = new HashSet<>();
    private int position;

    Tally(String part) {
      this.part = part;
    }
  }
}
